import type { Membership } from '@acaciahoist/membership';
import type { PartitionView } from '@acaciahoist/types/partition-view';
import type { PartitionLayout } from './partition-layout.js';

/** Sorts the partitions by known backlog, lowest first; among equals, those of `dataCentre` first. */
export function rankByBacklog(
  layout: PartitionLayout,
  membership: Pick<Membership, 'listViews'>,
  dataCentre: string,
): PartitionView[] {
  const localPartitions = new Set(layout.listInDataCentre(dataCentre));
  const views = membership.listViews().filter((view) => layout.listAll().includes(view.partition));
  return [...views].sort(
    (a, b) =>
      a.backlog - b.backlog ||
      Number(localPartitions.has(b.partition)) - Number(localPartitions.has(a.partition)),
  );
}
