/** Counters of a pool since its creation. */
export interface PoolCounts {
  granted: number;
  released: number;
  /** Releases of ids that are not outstanding: repeated, too late or never granted. */
  unmatchedReleases: number;
  /** Grants that ended because their deadline and margin passed without a release. */
  expiredGrants: number;
  /** Grants of predecessors that were added by `adopt`. */
  adopted: number;
  /** Waiting requests that were released before they were granted a slot. */
  cancelledWaiters: number;
  /** Waiting requests whose deadline passed before a slot was free. */
  expiredWaiters: number;
  /** Requests refused at once because their deadline could not be met. */
  shed: number;
  /** Requests refused because the queue of their lane was full. */
  queueFull: number;
}
