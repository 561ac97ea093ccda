import { changeRoom } from './change-room.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { Reservation } from './reservation.js';
import type { Room } from './room.js';

/**
 * Capacity that one step may use: the free capacity less the reservations for gangs ahead of it.
 */
export class CapacityLedger {
  /**
   * The reservation of a gang binds neither prompt steps nor steps that should end before the gang
   * fits.
   */
  static create(reservations: readonly Reservation[], step: ReadyStep): CapacityLedger {
    const bindingReservations =
      step.queue.priority === 0
        ? []
        : reservations.filter((reservation) => step.step.estimateMs > reservation.fitsInMs);
    return new CapacityLedger(bindingReservations);
  }

  private constructor(private readonly bindingReservations: readonly Reservation[]) {}

  capacityFor(worker: PlannedWorker): Room {
    let capacity: Room = worker.free;
    for (const reservation of this.bindingReservations) {
      const spareCapacity = reservation.spareCapacity.get(worker.id);
      if (spareCapacity !== undefined) capacity = takeMinimum(capacity, spareCapacity);
    }
    return capacity;
  }

  subtract(worker: PlannedWorker, demand: Room): void {
    changeRoom(worker.free, demand, -1);
    // A worker on probation is tried with one task.
    if (worker.probation) changeRoom(worker.free, worker.free, -1);
    for (const reservation of this.bindingReservations) {
      const spareCapacity = reservation.spareCapacity.get(worker.id);
      if (spareCapacity !== undefined) changeRoom(spareCapacity, demand, -1);
    }
  }
}

function takeMinimum(left: Room, right: Room): Room {
  return {
    millicores: Math.min(left.millicores, right.millicores),
    memoryMib: Math.min(left.memoryMib, right.memoryMib),
    accelerators: Math.min(left.accelerators, right.accelerators),
  };
}
