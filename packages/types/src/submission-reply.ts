import type { PartitionId } from './partition-id.js';

/** Reply of the owner of a partition to the submission of a job. */
export type SubmissionReply =
  | { jobId: string }
  /** The key was delegated to another partition: submit the job there. */
  | { delegatedTo: PartitionId };
