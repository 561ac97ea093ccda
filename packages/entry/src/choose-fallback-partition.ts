import type { Membership } from '@acaciahoist/membership';
import { NO_WORKERS_BACKLOG_JOBS } from '@acaciahoist/types/no-workers-backlog';
import type { PartitionId } from '@acaciahoist/types/partition-id';
import type { PartitionLayout } from './partition-layout.js';
import { rankByBacklog } from './rank-by-backlog.js';

/** The partition that may take the job of one without workers; undefined when none is known to have any. */
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
