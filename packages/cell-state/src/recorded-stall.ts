/** A run that has made no progress for some time, as an owner recorded it. */
export interface RecordedStall {
  run: number;
  /** Completed share of the work in percent, which it has not exceeded. */
  percent: number;
  /** Time in ms without progress, without the times between two owners. */
  ageMs: number;
  /** Time in ms without progress after which it counts as stalled. */
  limitMs: number;
}
