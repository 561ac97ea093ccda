import type { LeftoverRun } from './leftover-run.js';

/** A job that has ended; kept so that its state can be read and a repeated submission is recognised. */
export interface EndedJob {
  outcome: 'completed' | 'failed' | 'cancelled';
  /** Log time of the end. */
  endedMs: number;
  leftovers: Map<string, LeftoverRun>;
}
