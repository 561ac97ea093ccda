import { changeRoom } from '@acaciahoist/cell-planner/change-room';
import type { Room } from '@acaciahoist/cell-planner/room';

/**
 * Used capacity by worker, updated with each change instead of being summed up in every planning round.
 */
export class UsedCapacity {
  static create(): UsedCapacity {
    return new UsedCapacity();
  }

  private readonly byWorker = new Map<string, Room>();

  add(worker: string, demand: Room): void {
    changeRoom(this.capacityOf(worker), demand, 1);
  }

  remove(worker: string, demand: Room): void {
    changeRoom(this.capacityOf(worker), demand, -1);
  }

  /** Subtracts the used capacity of the worker from `capacity`. */
  subtractFrom(capacity: Room, worker: string): void {
    const used = this.byWorker.get(worker);
    if (used !== undefined) changeRoom(capacity, used, -1);
  }

  private capacityOf(worker: string): Room {
    let used = this.byWorker.get(worker);
    if (used === undefined) {
      used = { millicores: 0, memoryMib: 0, accelerators: 0 };
      this.byWorker.set(worker, used);
    }
    return used;
  }
}
