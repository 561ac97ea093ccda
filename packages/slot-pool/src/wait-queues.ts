import { Lane } from './lane.js';
import { WaitQueue } from './wait-queue.js';
import type { Waiter } from './waiter.js';

const LANES_BY_PRIORITY: readonly Lane[] = [Lane.prompt, Lane.heavy];

/** The waiting requests of a pool: one queue for each lane and service, and an index by grant id. */
export class WaitQueues {
  static create(): WaitQueues {
    return new WaitQueues();
  }

  private readonly queues = {
    [Lane.prompt]: new Map<string, WaitQueue>(),
    [Lane.heavy]: new Map<string, WaitQueue>(),
  };
  private readonly byGrantId = new Map<string, Waiter>();
  private readonly sizes = { [Lane.prompt]: 0, [Lane.heavy]: 0 };

  private constructor() {
    // Created empty.
  }

  size(lane: Lane): number {
    return this.sizes[lane];
  }

  find(grantId: string): Waiter | undefined {
    return this.byGrantId.get(grantId);
  }

  all(): Waiter[] {
    return [...this.byGrantId.values()];
  }

  add(waiter: Waiter): void {
    const { lane, service, grantId } = waiter.request;
    const queue = this.queues[lane].get(service) ?? WaitQueue.create();
    this.queues[lane].set(service, queue);
    queue.append(waiter);
    this.sizes[lane] += 1;
    this.byGrantId.set(grantId, waiter);
  }

  remove(waiter: Waiter): void {
    const { lane, service, grantId } = waiter.request;
    const queue = this.queues[lane].get(service);
    if (queue === undefined || !this.byGrantId.delete(grantId)) return;
    queue.remove(waiter);
    this.sizes[lane] -= 1;
    if (queue.size() === 0) this.queues[lane].delete(service);
  }

  /** Returns the next request for a free slot of the runner: prompt lane first, within a lane by arrival. */
  findNext(
    runner: { address: string; services: readonly string[] },
    hasFreeSlot: (lane: Lane) => boolean,
  ): Waiter | undefined {
    for (const lane of LANES_BY_PRIORITY) {
      if (this.sizes[lane] === 0 || !hasFreeSlot(lane)) continue;
      const waiter = this.findEarliest(lane, runner);
      if (waiter !== undefined) return waiter;
    }
    return undefined;
  }

  /** Returns, by service, the number of waiting requests that are served before a new request of the lane. */
  countAhead(lane: Lane): Map<string, number> {
    const ahead = new Map<string, number>();
    for (const candidate of LANES_BY_PRIORITY) {
      for (const [service, queue] of this.queues[candidate]) {
        ahead.set(service, (ahead.get(service) ?? 0) + queue.size());
      }
      if (candidate === lane) break;
    }
    return ahead;
  }

  private findEarliest(
    lane: Lane,
    runner: { address: string; services: readonly string[] },
  ): Waiter | undefined {
    let best: Waiter | undefined;
    for (const service of runner.services) {
      const waiter = this.queues[lane].get(service)?.findFirstFor(runner.address);
      if (waiter === undefined) continue;
      if (best === undefined || waiter.sequence < best.sequence) best = waiter;
    }
    return best;
  }
}
