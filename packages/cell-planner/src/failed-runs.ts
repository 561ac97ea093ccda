/** Failed runs of a task that waits to be started again. */
export interface FailedRuns {
  /** Workers on which runs of the task have failed, without those forgotten since. */
  workers: readonly string[];
  /** Monotonic time in ms since which the task waits for its next run. */
  waitingSinceMs: number;
}
