import type { TaskProgress } from './task-progress.js';

/** Progress of one step of one occurrence according to the log. */
export interface StepProgress {
  tasks: TaskProgress[];
  /** Number of tasks that are done. */
  done: number;
  /** Number of tasks with a run that has not ended. */
  placed: number;
  /** Number of failed runs of a gang; a run counts once for all members. */
  gangFailures: number;
  /**
   * Newest run whose failure was counted, so that a gang does not count it again for each member.
   */
  lastFailedRun: number;
  /** Newest run of a gang and the checkpoint from which it resumes; undefined before the first. */
  gangStart?: { run: number; checkpoint: string } | undefined;
}
