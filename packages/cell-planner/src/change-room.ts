import type { Room } from './room.js';

/** Adds `count` times `size` to the room; a negative count takes it away. */
export function changeRoom(room: Room, size: Room, count: number): void {
  room.millicores += size.millicores * count;
  room.memoryMib += size.memoryMib * count;
  room.accelerators += size.accelerators * count;
}
