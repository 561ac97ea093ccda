/** Settings of the second runs of speculative tasks. */
export const copySettings = {
  /** False to start no copies. Copies in the log still continue, and end as recorded. */
  isEnabled: true as boolean,
  /** Interval in ms at which the owner looks for slow runs. */
  intervalMs: 250,
  /** Maximum share of the running tasks that may be copies. */
  maxShare: 0.05,
  /** Number of copies that is allowed in a cell with few running tasks. */
  minAllowed: 2,
} as const;
