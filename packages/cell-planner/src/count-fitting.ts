import type { Room } from './room.js';

/** How many tasks of this size fit into the room, at most `limit`. */
export function countFitting(room: Room, size: Room, limit: number): number {
  let count = limit;
  if (size.millicores > 0) count = Math.min(count, Math.floor(room.millicores / size.millicores));
  if (size.memoryMib > 0) count = Math.min(count, Math.floor(room.memoryMib / size.memoryMib));
  if (size.accelerators > 0)
    count = Math.min(count, Math.floor(room.accelerators / size.accelerators));
  return Math.max(0, count);
}
