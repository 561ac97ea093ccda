import type { PoolCounts } from './pool-counts.js';

/** Creates the counters of a new pool, all zero. */
export function createCounts(): PoolCounts {
  return {
    granted: 0,
    released: 0,
    unmatchedReleases: 0,
    expiredGrants: 0,
    adopted: 0,
    cancelledWaiters: 0,
    expiredWaiters: 0,
    shed: 0,
    queueFull: 0,
  };
}
