/** A run that a worker lists as running. */
export interface RunningRun {
  task: string;
  run: number;
  /** Newest checkpoint; empty for none. */
  checkpoint: string;
  /** Share of the work that is done, 0 to 100. */
  percent: number;
}
