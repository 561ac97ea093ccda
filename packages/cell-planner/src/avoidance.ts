/** How long tasks avoid the workers on which their runs have failed. */
export const avoidance = {
  /**
   * Maximum time in ms for which a task waits for a worker on which it has not failed while one on which it has
   * could take it. Workers that could run it may be full of tasks that last.
   */
  maxMs: 1_000,
} as const;
