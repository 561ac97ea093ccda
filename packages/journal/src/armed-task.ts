/** A task that is started at the start time of its job without a further record. */
export interface ArmedTask {
  jobId: string;
  taskId: string;
  worker: string;
  /** Wall-clock ms. */
  armedAtMs: number;
  /** Start time of the job, wall-clock ms; null when the job has none. */
  startAtMs: number | null;
}
