/** States of a job. */
export const JobState = {
  /** Accepted; at least one task is not running yet. */
  waiting: 'waiting',
  /** A job with a start time whose start was decided before that time. */
  armed: 'armed',
  running: 'running',
  /** Its cancellation is recorded and its tasks are being stopped. */
  stopping: 'stopping',
  ended: 'ended',
} as const;

export type JobState = (typeof JobState)[keyof typeof JobState];
