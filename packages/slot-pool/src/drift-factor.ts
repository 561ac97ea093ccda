/** Factor on durations that covers the different rates of two clocks, as for leases (package `ownership`). */
export const DRIFT_FACTOR = 1.02;
