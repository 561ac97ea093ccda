/** One task of a job. Its name on workers and in records is `job.occurrence.step.index`. */
export interface TaskRef {
  job: string;
  occurrence: number;
  step: number;
  index: number;
}
