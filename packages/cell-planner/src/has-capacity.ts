import type { Capacity } from './capacity.js';
import type { CapacityLedger } from './capacity-ledger.js';
import { fits } from './fits.js';
import type { PlannedWorker } from './planned-worker.js';

/**
 * Returns whether a step may start a task on the worker by its capacity. On a full cell most workers fail the check
 * of their free capacity, which needs no look at the reservations.
 */
export function hasCapacity(
  worker: PlannedWorker,
  demand: Capacity,
  ledger: CapacityLedger,
): boolean {
  return fits(worker.free, demand) && fits(ledger.capacityFor(worker), demand);
}
