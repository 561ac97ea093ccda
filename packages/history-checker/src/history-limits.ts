/** Limits of the durations in the promises. */
export interface HistoryLimits {
  /** From the first listing of an endpoint as leaving to the start of its last new work. */
  leavingMs: number;
  /** From the acceptance of a configuration to the time at which every connected process uses it. */
  configurationMs: number;
}
