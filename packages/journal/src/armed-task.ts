/** A task that its worker starts at the scheduled time of the job without a further record. */
export interface ArmedTask {
  jobId: string;
  taskId: string;
  worker: string;
  /** Wall-clock ms. */
  armedAtMs: number;
  /** Scheduled time of the job, wall-clock ms; null when the job has none. */
  startAtMs: number | null;
}
