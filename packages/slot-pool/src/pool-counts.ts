/** Counters of a pool since its creation. */
export interface PoolCounts {
  granted: number;
  released: number;
  /** Releases of ids that are not outstanding: repeated, too late or never granted. */
  unmatchedReleases: number;
  /** Grants that ended by their deadline and not by a release. */
  expiredGrants: number;
  adopted: number;
  cancelledWaiters: number;
  expiredWaiters: number;
  /** Requests refused at once because their deadline could not be met. */
  shed: number;
  /** Requests refused because the queue of their lane was full. */
  queueFull: number;
}
