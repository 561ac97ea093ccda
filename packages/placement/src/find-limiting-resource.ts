import type { JobSpec } from '@acaciahoist/types/job-spec';
import type { PartitionState } from './partition-state.js';
import { findResourceShortage } from './find-resource-shortage.js';
import { vectors } from './vectors.js';

/** Returns the number of tasks with this demand that all workers together could hold when idle. */
function countFittingTasks(partition: PartitionState, demand: readonly number[]): number {
  let count = 0;
  for (const capacityClass of partition.workerTable.capacityClasses.values()) {
    let perWorker = Infinity;
    demand.forEach((amount, i) => {
      if (amount <= 0) return;
      perWorker = Math.min(perWorker, Math.floor(vectors.at(capacityClass.capacity, i) / amount));
    });
    count += perWorker * capacityClass.count;
  }
  return count;
}

/**
 * Returns the resource that the job lacks even when all workers are idle, or null when the check finds
 * none. A gang that passes may still not fit: only each group alone and the sum of all are checked.
 */
export function findLimitingResource(partition: PartitionState, spec: JobSpec): string | null {
  if (!partition.workerTable.hasKnownCapacity) return null;
  const totalDemand: number[] = [];
  for (const group of spec.groups) {
    const demand = partition.resourceKinds.toVector(group.resources);
    const shortage = findResourceShortage(partition, demand);
    if (shortage !== null) return shortage;
    if (spec.kind !== 'gang') continue;
    vectors.addTo(totalDemand, demand, group.count);
    if (countFittingTasks(partition, demand) < group.count)
      return `workers for group ${group.name}`;
  }
  const shortIndex = vectors.indexOfShortage(totalDemand, partition.workerTable.totalCapacity);
  return shortIndex < 0 ? null : partition.resourceKinds.getName(shortIndex);
}
