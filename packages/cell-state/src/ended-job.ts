import type { LeftoverRun } from './leftover-run.js';

/**
 * A job that has ended. It is kept so that clients can read its state and a repeated submission is
 * recognized.
 */
export interface EndedJob {
  outcome: 'completed' | 'failed' | 'cancelled';
  /**
   * Log time before the end, in Unix ms. Processes of earlier versions remove the job by it; it is as wrong as
   * the wall clocks of the owners.
   */
  endedMs: number;
  /** Offset of the record that ended the job, or a later one for a job from a snapshot. */
  endOffset: number;
  /**
   * Time of the cell from which the retention time counts, an upper bound of the end; undefined until an owner
   * has recorded a time after the end.
   */
  retainedFromMs: number | undefined;
  /** Runs that had not ended when the job ended, by name of their task. */
  leftovers: Map<string, LeftoverRun>;
}
