/**
 * Factor by which a duration that another process measures is extended, because the clocks of the two may run
 * at different rates. Leases in the package `ownership` are extended by the same factor.
 */
export const DRIFT_FACTOR = 1.02;
