/**
 * Times from which the predecessors of an owner can no longer act, as determined when it became the owner. The
 * times are on the monotonic clock of the owner's process.
 */
export interface PredecessorExpiry {
  /** From this time on the lease of the last predecessor has certainly expired. */
  leaseUntilMs: number;
  /** From this time on the hold time of every predecessor is certainly over. */
  holdUntilMs: number;
}
