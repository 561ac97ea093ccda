import type { Room } from './room.js';

/** Returns whether a task of this demand fits into the capacity. */
export function fits(capacity: Room, demand: Room): boolean {
  return (
    capacity.millicores >= demand.millicores &&
    capacity.memoryMib >= demand.memoryMib &&
    capacity.accelerators >= demand.accelerators
  );
}
