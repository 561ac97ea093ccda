import type { PartitionId } from './partition-id.js';

/** Answer of an owner to a submission. */
export type Submission =
  | { jobId: string }
  /** The key belongs to the job of another partition: submit it there. */
  | { delegatedTo: PartitionId };
