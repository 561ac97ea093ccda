import type { Failure } from '@acaciahoist/errors';
import type { RunnerReply } from '@acaciahoist/types/runner-reply';

/** How one try ended. */
export type RunnerCallResult =
  | { type: 'replied'; runner: string; reply: RunnerReply; waitMs: number }
  /** Nothing was sent and no other runner can help. */
  | { type: 'refused'; failure: Failure; waitMs: number }
  /** The runner could not be reached; no byte was sent. */
  | { type: 'not-sent'; runner: string; waitMs: number }
  /** The runner may have done the work. */
  | {
      type: 'lost';
      runner: string;
      failure: Failure;
      waitMs: number;
      /** False when the caller left, or left the runner too little time to judge it. */
      isRunnerFault: boolean;
    };
