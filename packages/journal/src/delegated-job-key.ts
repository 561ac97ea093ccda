import type { PartitionId } from '@acaciahoist/types/partition-id';

/** Idempotency key of a job that another partition accepts because this partition had no worker. */
export interface DelegatedJobKey {
  key: string;
  /** SHA-256 of the job spec. */
  specDigest: string;
  /** The partition that accepts the job. */
  partition: PartitionId;
  /** Time of the delegation, wall-clock ms. */
  atMs: number;
  /** Time of the partition at the delegation. Absent, and 0, in a snapshot of an earlier version. */
  keptSinceMs?: number;
}
