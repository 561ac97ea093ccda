import { Lane } from './lane.js';
import type { PoolDescription } from './pool-description.js';
import type { PoolRunner } from './pool-runner.js';
import { RunnerSlots } from './runner-slots.js';
import type { SlotLimits } from './slot-limits.js';
import type { SlotRequest } from './slot-request.js';

/** The runners of a pool, by address and by service. */
export class RunnerTable {
  static create(countReserved: (services: readonly string[]) => number): RunnerTable {
    return new RunnerTable(countReserved);
  }

  private readonly byAddress = new Map<string, RunnerSlots>();
  private byService = new Map<string, RunnerSlots[]>();
  /** Cached results of `computeSharedFraction` for the current list. */
  private readonly sharedFractions = new Map<string, Map<string, number>>();

  private constructor(private readonly countReserved: (services: readonly string[]) => number) {}

  /** Replaces the list. A runner that is missing from it stays while it has outstanding grants. */
  replaceAll(runners: readonly PoolRunner[]): void {
    const listedAddresses = new Set<string>();
    for (const { address, services, state } of runners) {
      const runner = this.findOrAdd(address);
      runner.services = services;
      runner.state = state;
      runner.reserved = this.countReserved(services);
      listedAddresses.add(address);
    }
    for (const runner of this.byAddress.values()) {
      if (!listedAddresses.has(runner.address)) runner.state = 'gone';
      this.removeIfUnused(runner);
    }
    this.byService = new Map();
    this.sharedFractions.clear();
    for (const runner of this.byAddress.values()) {
      if (runner.state !== 'live') continue;
      for (const service of runner.services) {
        const listedRunners = this.byService.get(service);
        if (listedRunners === undefined) this.byService.set(service, [runner]);
        else listedRunners.push(runner);
      }
    }
  }

  /** Returns the runner with this address, which is added as `gone` when it is not listed. */
  findOrAdd(address: string): RunnerSlots {
    const existing = this.byAddress.get(address);
    if (existing !== undefined) return existing;
    const runner = RunnerSlots.create(address);
    this.byAddress.set(address, runner);
    return runner;
  }

  find(address: string): RunnerSlots | undefined {
    return this.byAddress.get(address);
  }

  /** Removes a runner that is no longer listed and has no outstanding grants. */
  removeIfUnused(runner: RunnerSlots): void {
    if (runner.state === 'gone' && runner.countOutstanding() === 0) {
      this.byAddress.delete(runner.address);
    }
  }

  all(): RunnerSlots[] {
    return [...this.byAddress.values()];
  }

  /**
   * Returns the runner with the most free slots, so that a slow runner gets fewer requests. Of several with
   * the same number, the first at or after `startIndex`, so that they are used in turn.
   */
  findMostFree(
    { service, lane, exclude }: SlotRequest,
    limits: SlotLimits,
    startIndex: number,
  ): RunnerSlots | undefined {
    const runners = this.listLive(service);
    let best: RunnerSlots | undefined;
    let maxFree = 0;
    for (let index = 0; index < runners.length; index += 1) {
      const runner = runners[(index + startIndex) % runners.length];
      if (runner === undefined || exclude.includes(runner.address)) continue;
      const free = runner.countFree(lane, limits);
      if (free <= maxFree) continue;
      best = runner;
      maxFree = free;
    }
    return best;
  }

  describe(limits: SlotLimits): PoolDescription['runners'] {
    return this.all().map((runner) => ({
      address: runner.address,
      state: runner.state,
      outstanding: runner.countOutstanding(),
      occupied: runner.countOccupied(limits),
      freePrompt: Math.max(0, runner.countFree(Lane.prompt, limits)),
      freeHeavy: Math.max(0, runner.countFree(Lane.heavy, limits)),
    }));
  }

  /** Returns the fraction of the live runners of one service that also serve the other. */
  computeSharedFraction(service: string, otherService: string): number {
    if (service === otherService) return 1;
    const fractions = this.sharedFractions.get(service) ?? new Map<string, number>();
    this.sharedFractions.set(service, fractions);
    const cached = fractions.get(otherService);
    if (cached !== undefined) return cached;
    const runners = this.listLive(service);
    const shared = runners.filter((runner) => runner.services.includes(otherService));
    const fraction = runners.length === 0 ? 0 : shared.length / runners.length;
    fractions.set(otherService, fraction);
    return fraction;
  }

  /** Returns the live runners of the service. */
  listLive(service: string): readonly RunnerSlots[] {
    return this.byService.get(service) ?? [];
  }
}
