import type { JobSpec } from './job-spec.js';
import type { JobState } from './job-state.js';
import type { Outcome } from './outcome.js';

/** A job as reported to callers. */
export interface JobStatus {
  jobId: string;
  spec: JobSpec;
  state: JobState;
  outcome?: Outcome;
  /** Why the job waits, was refused or was placed on its workers. */
  reason: string;
  acceptedAtMs: number;
  startedAtMs?: number;
  endedAtMs?: number;
  tasks: readonly { taskId: string; worker: string; state: string }[];
}
