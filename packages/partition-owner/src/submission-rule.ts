import type { PartitionId } from '@acaciahoist/types/partition-id';

/** How a partition handles a submitted job whose key is new, or that has no key. */
export type SubmissionRule =
  | { kind: 'accept' }
  /** The job is to be submitted to the given partition. */
  | { kind: 'delegate'; partition: PartitionId }
  | { kind: 'refuse'; message: string };
