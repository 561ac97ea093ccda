import { Lane } from './lane.js';
import type { SlotLimits } from './slot-limits.js';

/** The slots of one runner. */
export class RunnerSlots {
  static create(address: string): RunnerSlots {
    return new RunnerSlots(address);
  }

  services: readonly string[] = [];
  /** `gone`: no longer listed, kept while grants are outstanding. */
  state: 'live' | 'leaving' | 'gone' = 'gone';
  /** Slots kept free of heavy work. */
  reserved = 0;
  /** True when every grant of the former owner for this runner is known. */
  areGrantsKnown = false;

  private grantsByLane = { [Lane.prompt]: 0, [Lane.heavy]: 0 };
  private adopted = 0;

  private constructor(readonly address: string) {}

  count(lane: Lane, isAdopted: boolean, change: 1 | -1): void {
    if (isAdopted) this.adopted += change;
    else this.grantsByLane[lane] += change;
  }

  outstanding(): number {
    return this.grantsByLane.prompt + this.grantsByLane.heavy + this.adopted;
  }

  /** Slots that work of the lane may use at most. */
  usableSlots(lane: Lane, limits: SlotLimits): number {
    const usable = limits.usable - this.predecessorSlots(limits);
    return lane === Lane.prompt ? usable : usable - this.reserved;
  }

  /** Slots that may be used now by work of the lane. */
  free(lane: Lane, limits: SlotLimits): number {
    if (this.state !== 'live') return 0;
    const { prompt, heavy } = this.grantsByLane;
    const free = this.usableSlots(Lane.prompt, limits) - prompt - heavy;
    if (lane === Lane.prompt) return free;
    return Math.min(free, this.usableSlots(Lane.heavy, limits) - heavy);
  }

  /** Slots in use or quarantined. */
  occupied(limits: SlotLimits): number {
    return this.grantsByLane.prompt + this.grantsByLane.heavy + this.predecessorSlots(limits);
  }

  /** Adopted grants are among those that the quarantine allows for, so the greater number counts. */
  private predecessorSlots(limits: SlotLimits): number {
    return Math.max(this.areGrantsKnown ? 0 : limits.quarantined, this.adopted);
  }
}
