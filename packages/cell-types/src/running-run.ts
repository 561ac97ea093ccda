/** A run that a worker lists as running. */
export interface RunningRun {
  task: string;
  run: number;
  /** Newest checkpoint; empty for none. */
  checkpoint: string;
  /** Completed share of the work, 0 to 100. */
  percent: number;
  /**
   * Approximate load over the last half second: the tail latency in ms for a serving task, the used
   * millicores for any other task.
   */
  load: number;
}
