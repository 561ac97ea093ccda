import { adjustCapacity } from './adjust-capacity.js';
import { fits } from './fits.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { Reservation } from './reservation.js';
import type { Capacity } from './capacity.js';

/**
 * Capacity that one step may use: the free capacity of workers less what is reserved for gangs
 * ahead of the step.
 */
export class CapacityLedger {
  /**
   * Creates the ledger of a step. A reservation for a gang binds neither prompt steps nor steps
   * whose tasks are expected to end before the gang fits.
   */
  static create(reservations: readonly Reservation[], step: ReadyStep): CapacityLedger {
    const bindingReservations =
      step.queue.priority === 0
        ? []
        : reservations.filter((reservation) => step.step.estimateMs > reservation.fitsInMs);
    return new CapacityLedger(bindingReservations);
  }

  private constructor(private readonly bindingReservations: readonly Reservation[]) {}

  /** Returns the capacity of the worker that the step may use. */
  capacityFor(worker: PlannedWorker): Capacity {
    let capacity: Capacity = worker.free;
    for (const reservation of this.bindingReservations) {
      const spareCapacity = reservation.spareCapacity.get(worker.id);
      if (spareCapacity !== undefined) capacity = takeMinimum(capacity, spareCapacity);
    }
    return capacity;
  }

  /** Returns whether reservations alone keep a task of this demand from one of the workers. */
  withholds(workers: readonly PlannedWorker[], demand: Capacity): boolean {
    if (this.bindingReservations.length === 0) return false;
    return workers.some(
      (worker) => fits(worker.free, demand) && !fits(this.capacityFor(worker), demand),
    );
  }

  /** Subtracts the demand of a planned start. */
  subtract(worker: PlannedWorker, demand: Capacity): void {
    adjustCapacity(worker.free, demand, -1);
    // A worker on probation, or one that is the last resort, gets one task: no capacity is left for a second one.
    if (worker.isOnProbation || worker.isLastResort) adjustCapacity(worker.free, worker.free, -1);
    for (const reservation of this.bindingReservations) {
      const spareCapacity = reservation.spareCapacity.get(worker.id);
      if (spareCapacity !== undefined) adjustCapacity(spareCapacity, demand, -1);
    }
  }
}

function takeMinimum(left: Capacity, right: Capacity): Capacity {
  return {
    millicores: Math.min(left.millicores, right.millicores),
    memoryMib: Math.min(left.memoryMib, right.memoryMib),
    accelerators: Math.min(left.accelerators, right.accelerators),
  };
}
