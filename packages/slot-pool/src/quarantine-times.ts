/** What is known about the grants of a former owner. Times are of this process's monotonic clock. */
export interface QuarantineTimes {
  /**
   * From this time on no grant made under the former lease can be in use: end of the former lease
   * plus the longest deadline, with the allowance for clock drift.
   */
  unheldFromMs: number;
  /**
   * From this time on no grant made while holding can be in use either: end of the hold time plus
   * the longest deadline. When several former owners may still hold, the latest of their times.
   */
  heldFromMs: number;
}
