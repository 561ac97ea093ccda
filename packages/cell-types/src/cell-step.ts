/** Step of a job: a number of tasks with the same requirements. */
export interface CellStep {
  /** Number of tasks. */
  count: number;
  /** Demand of one task, as are `memoryMib` and `accelerators`. */
  millicores: number;
  memoryMib: number;
  accelerators: number;
  /** Rough estimate of the duration of one run in ms; the actual duration may differ widely. */
  estimateMs: number;
  /** Indices of the earlier steps that this one depends on: all their tasks must be done. */
  after: readonly number[];
  /** The step is a gang: all its tasks start together, share a run number and end together. */
  gang: boolean;
  /** All tasks of a gang must run in one rack. */
  sameRack: boolean;
  /** Label that a worker must have; empty for none. */
  label: string;
  /** Rack that holds the data; empty for none. */
  dataRack: string;
  /** Maximum number of tasks of the step on one worker; 0 for no limit. */
  maxPerWorker: number;
  /** Runs save checkpoints from which a later run can resume. */
  checkpointing: boolean;
  /** A task may have several runs at the same time. */
  speculative: boolean;
  /**
   * Tasks run until the job is cancelled; whenever a run ends, for whatever reason, another one
   * follows.
   */
  longRunning: boolean;
  /**
   * The tasks are best-effort: they use only processor time that others leave, and their demand for
   * it does not count against the capacity of a worker.
   */
  usesSpareCpu: boolean;
  image: string;
  /** Target for the tail latency of a serving task in ms; 0 for none. */
  tailTargetMs: number;
  /** Maximum number of tasks that the system may make unavailable at once; 0 for no limit. */
  maxUnavailable: number;
}
