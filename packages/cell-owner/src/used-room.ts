import { changeRoom } from '@acaciahoist/cell-planner/change-room';
import type { Room } from '@acaciahoist/cell-planner/room';

/** Room in use by worker, kept up to date instead of being summed up in every planning round. */
export class UsedRoom {
  static create(): UsedRoom {
    return new UsedRoom();
  }

  private readonly byWorker = new Map<string, Room>();

  add(worker: string, size: Room): void {
    changeRoom(this.roomOf(worker), size, 1);
  }

  remove(worker: string, size: Room): void {
    changeRoom(this.roomOf(worker), size, -1);
  }

  /** Takes what is in use on the worker away from the room. */
  takeFrom(room: Room, worker: string): void {
    const used = this.byWorker.get(worker);
    if (used !== undefined) changeRoom(room, used, -1);
  }

  private roomOf(worker: string): Room {
    let used = this.byWorker.get(worker);
    if (used === undefined) {
      used = { millicores: 0, memoryMib: 0, accelerators: 0 };
      this.byWorker.set(worker, used);
    }
    return used;
  }
}
