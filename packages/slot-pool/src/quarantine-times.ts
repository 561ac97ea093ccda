/**
 * Times by which the unreported grants of predecessors have ended, on the monotonic clock of this process.
 */
export interface QuarantineTimes {
  /**
   * From this time on no grant that the predecessor made under its lease can be in use: the end of that
   * lease plus the longest deadline, extended for the difference of clock rates.
   */
  leaseGrantsEndAtMs: number;
  /**
   * From this time on no grant that a predecessor made while holding can be in use either: the end of
   * its hold time plus the longest deadline, extended in the same way. The latest such time when several predecessors may still be
   * holding.
   */
  holdGrantsEndAtMs: number;
}
