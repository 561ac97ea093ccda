/**
 * Limits of a job, which bound the memory that it takes in every process. They must not become lower: the log
 * and the snapshot may hold jobs that were accepted before.
 */
export const jobLimits = {
  steps: 200,
  /** Tasks of all occurrences together. */
  tasks: 20_000,
  occurrences: 10_000,
} as const;
