import type { JobRecord } from './job-record.js';

/** Entry of a job in a queue; the job is null after its removal. */
export interface QueueEntry {
  job: JobRecord | null;
  submittedAtMs: number;
}
