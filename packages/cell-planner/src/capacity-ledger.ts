import { changeRoom } from './change-room.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { Reservation } from './reservation.js';
import type { Room } from './room.js';

/** Room that one step may take, less what is kept for gangs that come before it. */
export class CapacityLedger {
  /** Prompt steps, and those expected to end before a gang fits, are not bound by its reservation. */
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

  take(worker: PlannedWorker, demand: Room): void {
    changeRoom(worker.free, demand, -1);
    // One task is enough to try a worker again.
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
