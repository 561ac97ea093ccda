/** Limits on the records of the configuration stream and on the replayed state. */
export const ConfigurationLimits = {
  /** Largest encoded record. */
  recordBytes: 4 * 1024 * 1024,
  /** Number of the most recent conflicting publications that are kept. */
  conflicts: 16,
} as const;
