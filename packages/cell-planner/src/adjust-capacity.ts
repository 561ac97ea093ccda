import type { Capacity } from './capacity.js';

/** Adds `count` times `amount` to the capacity; a negative count subtracts. */
export function adjustCapacity(capacity: Capacity, amount: Capacity, count: number): void {
  capacity.millicores += amount.millicores * count;
  capacity.memoryMib += amount.memoryMib * count;
  capacity.accelerators += amount.accelerators * count;
}
