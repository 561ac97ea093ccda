import type { Failure } from '@acaciahoist/errors';
import type { RunnerReply } from '@acaciahoist/types/runner-reply';

/** Result of one attempt. `waitMs` is the time for which it waited for its slot. */
export type RunnerCallResult =
  | { type: 'replied'; runner: string; reply: RunnerReply; waitMs: number }
  /** No byte was sent, and an attempt at another runner would not help. */
  | { type: 'refused'; failure: Failure; waitMs: number }
  /** The runner could not be reached; no byte was sent. */
  | { type: 'not-sent'; runner: string; waitMs: number }
  /** There is no valid reply, but the request may have been sent; the runner may have done the work. */
  | {
      type: 'unknown';
      runner: string;
      failure: Failure;
      waitMs: number;
      /** False when the caller cancelled, or when the runner had too little time to reply. */
      isRunnerFault: boolean;
    };
