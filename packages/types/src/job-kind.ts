/** Kinds of jobs, each with its own scheduling policy. */
export const JobKind = {
  /** Runs until replaced; restarted on failure. */
  service: 'service',
  /** Its tasks run to completion; each is placed independently. */
  batch: 'batch',
  /** All tasks start in one decision or none does. */
  gang: 'gang',
} as const;

export type JobKind = (typeof JobKind)[keyof typeof JobKind];
