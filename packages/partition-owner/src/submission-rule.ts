import type { PartitionId } from '@acaciahoist/types/partition-id';

/** How a partition handles a submitted job whose key is new, or that has no key. */
export type SubmissionRule =
  | { kind: 'accept' }
  /** The submitter must submit the job to the given partition instead. */
  | { kind: 'delegate'; partition: PartitionId }
  | { kind: 'refuse'; message: string };
