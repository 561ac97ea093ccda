import type { Capacity } from './capacity.js';

/** Counts the tasks of this demand that fit into the capacity, up to `limit`. */
export function countFittingTasks(capacity: Capacity, demand: Capacity, limit: number): number {
  let count = limit;
  if (demand.millicores > 0)
    count = Math.min(count, Math.floor(capacity.millicores / demand.millicores));
  if (demand.memoryMib > 0)
    count = Math.min(count, Math.floor(capacity.memoryMib / demand.memoryMib));
  if (demand.accelerators > 0)
    count = Math.min(count, Math.floor(capacity.accelerators / demand.accelerators));
  return Math.max(0, count);
}
