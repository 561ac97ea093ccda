import type { Failure } from '@acaciahoist/errors';
import type { Lane } from '@acaciahoist/slot-pool/lane';

/** One attempt to send a request to a runner. */
export interface RunnerCall {
  requestId: string;
  service: string;
  lane: Lane;
  contentType: string;
  body: Uint8Array;
  /** Monotonic time. */
  deadlineAtMs: number;
  /** Runners that earlier attempts have tried. */
  exclude: readonly string[];
  signal: AbortSignal | undefined;
  /** Called directly before the send, with no `await` in between; a failure prevents the send. */
  beforeSend: () => Failure | undefined;
}
