import type { Result } from 'true-myth/result';
import type { Failure } from '@acaciahoist/errors';
import type { LogPage } from './log-page.js';
import type { Offset } from './offset.js';

/** One stream of the platform's log. */
export interface LogStream {
  /**
   * Appends one record. Fails with `log-unavailable` when the record was certainly not appended, and
   * with `append-unknown` when it may have been appended or may still be.
   */
  append(data: Uint8Array, timeoutMs: number): Promise<Result<Offset, Failure>>;
  /** Reads from offset `from` on; waits up to `waitMs` for a first record. Fails with `log-unavailable`. */
  read(from: Offset, waitMs: number): Promise<Result<LogPage, Failure>>;
}
