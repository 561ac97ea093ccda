import type { PartitionId } from '@acaciahoist/types/partition-id';

/** What becomes of a job whose key is new, or that has none. */
export type SubmissionRule =
  | { kind: 'accept' }
  /** Another partition accepts it. */
  | { kind: 'delegate'; partition: PartitionId }
  | { kind: 'refuse'; message: string };
