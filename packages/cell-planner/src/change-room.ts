import type { Room } from './room.js';

/** Adds `count` times `size` to the room; a negative count takes it away. */
export function changeRoom(capacity: Room, amount: Room, count: number): void {
  capacity.millicores += amount.millicores * count;
  capacity.memoryMib += amount.memoryMib * count;
  capacity.accelerators += amount.accelerators * count;
}
