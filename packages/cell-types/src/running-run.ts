/** A run that a worker lists as running. */
export interface RunningRun {
  task: string;
  run: number;
  /** Newest checkpoint; empty for none. */
  checkpoint: string;
  /** Share of the work that is done, 0 to 100. */
  percent: number;
  /**
   * Rough figure for the last half second: the tail of the response times in ms for a task that serves
   * its own users, the millicores in use for any other.
   */
  load: number;
}
