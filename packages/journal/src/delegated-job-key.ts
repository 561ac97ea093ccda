import type { PartitionId } from '@acaciahoist/types/partition-id';

/** The key of a job that another partition accepts, because this one had no worker. */
export interface DelegatedJobKey {
  key: string;
  /** SHA-256 of the job spec. */
  specDigest: string;
  partition: PartitionId;
  atMs: number;
}
