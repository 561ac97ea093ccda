import { changeRoom } from './change-room.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { Reservation } from './reservation.js';
import type { Room } from './room.js';

/** Room that one step may take, less what is kept for gangs that come before it. */
export class RoomLedger {
  /** Prompt steps, and those expected to end before a gang fits, are not bound by its reservation. */
  static create(reservations: readonly Reservation[], step: ReadyStep): RoomLedger {
    const binding =
      step.queue.priority === 0
        ? []
        : reservations.filter((reservation) => step.step.estimateMs > reservation.fitsInMs);
    return new RoomLedger(binding);
  }

  private constructor(private readonly binding: readonly Reservation[]) {}

  roomFor(worker: PlannedWorker): Room {
    let room: Room = worker.free;
    for (const reservation of this.binding) {
      const spare = reservation.spare.get(worker.id);
      if (spare !== undefined) room = smaller(room, spare);
    }
    return room;
  }

  take(worker: PlannedWorker, size: Room): void {
    changeRoom(worker.free, size, -1);
    // One task is enough to try a worker again.
    if (worker.probation) changeRoom(worker.free, worker.free, -1);
    for (const reservation of this.binding) {
      const spare = reservation.spare.get(worker.id);
      if (spare !== undefined) changeRoom(spare, size, -1);
    }
  }
}

function smaller(left: Room, right: Room): Room {
  return {
    millicores: Math.min(left.millicores, right.millicores),
    memoryMib: Math.min(left.memoryMib, right.memoryMib),
    accelerators: Math.min(left.accelerators, right.accelerators),
  };
}
