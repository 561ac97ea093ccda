/** One task of a job. Workers and records name it `job.occurrence.step.index`. */
export interface TaskRef {
  job: string;
  occurrence: number;
  step: number;
  index: number;
}
