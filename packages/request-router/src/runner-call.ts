import type { Failure } from '@acaciahoist/errors';
import type { Lane } from '@acaciahoist/slot-pool/lane';

/** One try of a request. */
export interface RunnerCall {
  requestId: string;
  service: string;
  lane: Lane;
  contentType: string;
  body: Uint8Array;
  /** Monotonic time. */
  deadlineAtMs: number;
  /** Runners already tried. */
  exclude: readonly string[];
  signal: AbortSignal | undefined;
  /** Called directly before the send, with no wait between; a failure prevents the send. */
  beforeSend: () => Failure | undefined;
}
