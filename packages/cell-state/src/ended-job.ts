import type { LeftoverRun } from './leftover-run.js';

/**
 * A job that has ended. It is kept so that clients can read its state and a repeated submission is
 * recognized.
 */
export interface EndedJob {
  outcome: 'completed' | 'failed' | 'cancelled';
  /** Log time at which the job ended, in Unix ms. */
  endedMs: number;
  /** Runs that had not ended when the job ended, by name of their task. */
  leftovers: Map<string, LeftoverRun>;
}
