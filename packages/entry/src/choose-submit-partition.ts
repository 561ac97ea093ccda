import type { Membership } from '@acaciahoist/membership';
import type { PartitionLayout } from './partition-layout.js';
import { rankByBacklog } from './rank-by-backlog.js';

/**
 * The partition of a new job: by its key, so that every process finds the same one; without a key the
 * one with the lowest known backlog, the own data centre first.
 */
export function chooseSubmitPartition(
  key: string | undefined,
  layout: PartitionLayout,
  membership: Membership,
  dataCentre: string,
): string | undefined {
  if (key !== undefined) return layout.forKey(key);
  const [best] = rankByBacklog(layout, membership, dataCentre);
  return best?.partition ?? layout.ofDataCentre(dataCentre)[0];
}
