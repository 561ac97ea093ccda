/** How a request or job ended. Each has exactly one outcome. */
export const Outcome = {
  completed: 'completed',
  /** Completed after its due time or deadline. */
  late: 'late',
  /** It certainly did not run. */
  refused: 'refused',
  cancelled: 'cancelled',
  failed: 'failed',
  /** Sent to an endpoint or worker; its result is not known. */
  unknown: 'unknown',
} as const;

export type Outcome = (typeof Outcome)[keyof typeof Outcome];
