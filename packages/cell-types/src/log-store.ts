import type { AppendRequest } from './append-request.js';
import type { AppendResult } from './append-result.js';
import type { KeyedRecord } from './keyed-record.js';
import type { ReadResult } from './read-result.js';

/** The platform's store of topics. Every call returns within its timeout. */
export interface LogStore {
  append(request: AppendRequest): Promise<AppendResult>;
  /** Reads records from offset `from` on; waits up to `waitMs` for the first. */
  read(topic: string, from: number, waitMs: number): Promise<ReadResult>;
  /**
   * Reads the newest record of each key of a keyed topic; undefined when the store did not answer.
   */
  readNewest(topic: string): Promise<{ records: KeyedRecord[]; end: number } | undefined>;
  encodeKeyed(record: KeyedRecord): Uint8Array;
  /** Returns undefined for bytes that are not a keyed record. */
  decodeKeyed(data: Uint8Array): KeyedRecord | undefined;
  /**
   * Time in ms for which a response of the store has been overdue, which shows an outage; 0 when
   * none is overdue.
   */
  outageMs(): number;
}
