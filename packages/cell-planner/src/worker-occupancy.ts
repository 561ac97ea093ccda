/** Tasks on a worker that disturb each other: serving tasks and best-effort tasks. */
export interface WorkerOccupancy {
  /** Tasks with a target for their tail latency. */
  servingTasks: number;
  bestEffortTasks: number;
  /** Number of best-effort tasks that may be started now; infinite on a worker that serves nothing. */
  startableBestEffortTasks: number;
}
