/** Tasks of one kind within a job. */
export interface CellStep {
  count: number;
  millicores: number;
  memoryMib: number;
  accelerators: number;
  /** Rough estimate of one task's run time in ms; may be far off. */
  estimateMs: number;
  /** Indices of earlier steps whose tasks must all have ended as done. */
  after: readonly number[];
  /** All tasks start together, share a run number and end together. */
  gang: boolean;
  sameRack: boolean;
  /** Label that a worker must have; empty for none. */
  label: string;
  /** Rack that holds the data; empty for none. */
  dataRack: string;
  /** Most tasks of the step on one worker; 0 for no bound. */
  maxPerWorker: number;
  checkpointing: boolean;
  /** Copies of a task may run in parallel. */
  speculative: boolean;
  /** Tasks run until the job is cancelled and are restarted however they end. */
  longRunning: boolean;
  /** The tasks use only processor time that others leave; it does not count against a worker. */
  usesSpareCpu: boolean;
  image: string;
  /** Bound on the tail of a serving task's response times in ms; 0 for none. */
  tailTargetMs: number;
  /** Most tasks that the system may make unavailable at once; 0 for no bound. */
  maxUnavailable: number;
}
