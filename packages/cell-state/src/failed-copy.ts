/** A copy that has failed, and whose failure is not counted yet. */
export interface FailedCopy {
  run: number;
  worker: string;
}
