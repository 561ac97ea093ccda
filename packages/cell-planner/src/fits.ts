import type { Room } from './room.js';

/** True when a task of this size fits into the room. */
export function fits(capacity: Room, demand: Room): boolean {
  return (
    capacity.millicores >= demand.millicores &&
    capacity.memoryMib >= demand.memoryMib &&
    capacity.accelerators >= demand.accelerators
  );
}
