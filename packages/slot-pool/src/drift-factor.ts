/**
 * Factor on a duration of another process that covers the different rates of the two clocks, as for leases
 * in the package `ownership`.
 */
export const DRIFT_FACTOR = 1.02;
