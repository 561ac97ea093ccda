import type { Clock } from '@acaciahoist/clock';
import type { JournalPolicy } from '@acaciahoist/journal/journal-policy';
import type { LogStream } from '@acaciahoist/types/log-stream';
import type { PartitionId } from '@acaciahoist/types/partition-id';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';

/** Settings of the ownership of one partition. Times are in ms. */
export interface OwnershipOptions {
  partition: PartitionId;
  identity: ProcessIdentity;
  clock: Clock;
  /** The stream `journal.<partition>`. */
  log: LogStream;
  /** Time for which a durable record gives its owner the lease. */
  leaseMs: number;
  /** Time after the last durable record for which the owner may continue recorded work without the log. */
  holdMs: number;
  /** Age of the last durable record after which the owner renews its lease. */
  renewMs: number;
  /** Shortest time between the starts of two appends; changes with the number of partitions. */
  commitIntervalMs: () => number;
  /** Time for which the log keeps records. */
  retentionMs: number;
  /** True while another process is known to own the partition and to be alive. The stream is not read then. */
  isOwnerAlive?: () => boolean;
  /** Functions with which replay computes accounts. They must be the same in every process. */
  policy?: Partial<JournalPolicy>;
  /** Entries after which a snapshot is due, unless the state has more items. Default 2,000. */
  snapshotEntries?: number;
  /** Timeout of an append. Default: half the time between a renewal and the end of the lease. */
  appendTimeoutMs?: number;
  /** Time after which a commit without a result fails. Default: `leaseMs`. */
  entryWaitMs?: number;
  /** Limits on the waiting entries. Defaults: 10,000 entries, 8 MiB. */
  maxWaitingEntries?: number;
  maxWaitingBytes?: number;
  /** Timeout of `release`. If it passes, the successor waits until the lease has expired. Default 5,000. */
  releaseTimeoutMs?: number;
}
