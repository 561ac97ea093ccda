import type { TaskProgress } from './task-progress.js';

/** What the log says about one step of one occurrence. */
export interface StepProgress {
  tasks: TaskProgress[];
  done: number;
  placed: number;
  /** Failed runs of a gang, counted once for all members. */
  gangFailures: number;
  /** Newest run whose failure was counted for a gang. */
  lastFailedRun: number;
}
