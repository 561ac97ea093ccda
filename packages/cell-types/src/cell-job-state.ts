/** State of a job as clients read it. */
export const CellJobState = {
  queued: 'queued',
  running: 'running',
  completed: 'completed',
  failed: 'failed',
  cancelled: 'cancelled',
} as const;

export type CellJobState = (typeof CellJobState)[keyof typeof CellJobState];
