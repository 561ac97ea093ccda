/** A copy of which it is not known yet whether it is done before the first run. */
export interface UndecidedCopy {
  run: number;
  /** Image or queue of the task; undefined for a copy that a predecessor started. */
  group: string | undefined;
  estimateMs: number;
  /** Duration in ms that was expected of the first run at speed 1. */
  expectedMs: number;
}
