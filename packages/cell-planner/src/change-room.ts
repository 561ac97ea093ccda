import type { Room } from './room.js';

/** Adds `count` times `amount` to the capacity; a negative count subtracts. */
export function changeRoom(capacity: Room, amount: Room, count: number): void {
  capacity.millicores += amount.millicores * count;
  capacity.memoryMib += amount.memoryMib * count;
  capacity.accelerators += amount.accelerators * count;
}
