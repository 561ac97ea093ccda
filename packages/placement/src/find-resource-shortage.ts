import type { PartitionState } from './partition-state.js';
import { vectors } from './vectors.js';

/**
 * Returns the name of a resource of which every worker has too little for the demand, even when
 * idle; null when the demand fits some worker. Among several resources it is the one that the
 * worker closest to fitting lacks.
 */
export function findResourceShortage(
  partition: PartitionState,
  demand: readonly number[],
): string | null {
  let name: string | null = null;
  let smallestRatio = Infinity;
  for (const { capacity } of partition.workerTable.capacityClasses.values()) {
    const shortIndex = vectors.indexOfShortage(demand, capacity);
    if (shortIndex < 0) return null;
    const ratio = vectors.at(demand, shortIndex) / Math.max(1, vectors.at(capacity, shortIndex));
    if (ratio >= smallestRatio) continue;
    smallestRatio = ratio;
    name = partition.resourceKinds.getName(shortIndex);
  }
  return name;
}
