import type { Room } from './room.js';

/** True when a task of this size fits into the room. */
export function fits(room: Room, size: Room): boolean {
  return (
    room.millicores >= size.millicores &&
    room.memoryMib >= size.memoryMib &&
    room.accelerators >= size.accelerators
  );
}
