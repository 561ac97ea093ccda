import type { Membership } from '@acaciahoist/membership';
import { NO_WORKERS_BACKLOG_JOBS } from '@acaciahoist/types/no-workers-backlog';
import type { PartitionId } from '@acaciahoist/types/partition-id';
import type { PartitionLayout } from './partition-layout.js';
import { rankByBacklog } from './rank-by-backlog.js';

/**
 * Returns the partition that accepts a job with a new key while `partition` has no worker: the one with the
 * lowest backlog among the others that are known to have workers, or undefined when there is none.
 */
export function chooseFallbackPartition(
  partition: PartitionId,
  layout: PartitionLayout,
  membership: Pick<Membership, 'listViews'>,
  dataCentre: string,
): PartitionId | undefined {
  return rankByBacklog(layout, membership, dataCentre).find(
    (view) => view.partition !== partition && view.backlog < NO_WORKERS_BACKLOG_JOBS,
  )?.partition;
}
