import type { Capacity } from './capacity.js';

/** Returns whether a task of this demand fits into the capacity. */
export function fits(capacity: Capacity, demand: Capacity): boolean {
  return (
    capacity.millicores >= demand.millicores &&
    capacity.memoryMib >= demand.memoryMib &&
    capacity.accelerators >= demand.accelerators
  );
}
