/** Limits of a cell, which bound the memory that accepted jobs take in every process. */
export const cellLimits = {
  /** Estimated memory in bytes of all jobs that have not ended: some 200,000 tasks. */
  openJobBytes: 20_000_000,
} as const;
