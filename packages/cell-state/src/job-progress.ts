import type { CellJob } from '@acaciahoist/cell-types';
import type { StepProgress } from './step-progress.js';

/** A job that has not ended. */
export interface JobProgress {
  job: CellJob;
  /** Offset of the record that accepted the job; orders jobs by age. */
  offset: number;
  /** Steps by occurrence. */
  occurrences: StepProgress[][];
  /**
   * True once a worker has confirmed a start of the job or reported the end of one of its runs. A
   * recorded start alone may never be executed.
   */
  begun: boolean;
}
