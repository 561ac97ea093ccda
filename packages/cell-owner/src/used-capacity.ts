import { adjustCapacity } from '@acaciahoist/cell-planner/adjust-capacity';
import type { Capacity } from '@acaciahoist/cell-planner/capacity';

/**
 * Used capacity by worker. It is updated with each change, so that no planning round has to sum over all
 * runs.
 */
export class UsedCapacity {
  static create(): UsedCapacity {
    return new UsedCapacity();
  }

  private readonly byWorker = new Map<string, Capacity>();

  add(worker: string, demand: Capacity): void {
    adjustCapacity(this.capacityOf(worker), demand, 1);
  }

  remove(worker: string, demand: Capacity): void {
    adjustCapacity(this.capacityOf(worker), demand, -1);
  }

  /** Subtracts the used capacity of the worker from `capacity`. */
  subtractFrom(capacity: Capacity, worker: string): void {
    const used = this.byWorker.get(worker);
    if (used !== undefined) adjustCapacity(capacity, used, -1);
  }

  private capacityOf(worker: string): Capacity {
    let used = this.byWorker.get(worker);
    if (used === undefined) {
      used = { millicores: 0, memoryMib: 0, accelerators: 0 };
      this.byWorker.set(worker, used);
    }
    return used;
  }
}
