/** State of a job as clients read it. */
export const JobOutcome = {
  queued: 'queued',
  running: 'running',
  completed: 'completed',
  failed: 'failed',
  cancelled: 'cancelled',
} as const;

export type JobOutcome = (typeof JobOutcome)[keyof typeof JobOutcome];
