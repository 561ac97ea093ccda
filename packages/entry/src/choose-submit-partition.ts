import type { Membership } from '@acaciahoist/membership';
import type { PartitionLayout } from './partition-layout.js';
import { rankByBacklog } from './rank-by-backlog.js';

/**
 * Returns the partition of a new job. The key of a job determines its partition, so that every process
 * chooses the same one. A job without a key goes to the partition with the lowest known backlog, and among
 * equals to one of `dataCentre`.
 */
export function chooseSubmitPartition(
  key: string | undefined,
  layout: PartitionLayout,
  membership: Membership,
  dataCentre: string,
): string | undefined {
  if (key !== undefined) return layout.findByKey(key);
  const [best] = rankByBacklog(layout, membership, dataCentre);
  return best?.partition ?? layout.listInDataCentre(dataCentre)[0];
}
