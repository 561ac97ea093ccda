/** What is known about owners before this process when it became one. Times are of the monotonic clock. */
export interface PredecessorExpiry {
  /** The last lease before the own one has certainly expired from here on. */
  leaseEndMs: number;
  /** The hold time of every former owner is certainly over from here on. */
  holdEndMs: number;
}
