import { Lane } from './lane.js';
import type { SlotLimits } from './slot-limits.js';

/** Counts the used slots of one runner and computes the free ones. */
export class RunnerSlots {
  static create(address: string): RunnerSlots {
    return new RunnerSlots(address);
  }

  services: readonly string[] = [];
  /** `gone`: no longer listed, kept until no grant is outstanding. */
  state: 'live' | 'leaving' | 'gone' = 'gone';
  /** Number of slots that heavy work may not use. */
  reserved = 0;
  /** True when every grant of the predecessors for this runner is known. */
  areGrantsKnown = false;

  private grantsByLane = { [Lane.prompt]: 0, [Lane.heavy]: 0 };
  private adopted = 0;

  private constructor(readonly address: string) {}

  /** Adds or removes one outstanding grant. */
  count(lane: Lane, isAdopted: boolean, change: 1 | -1): void {
    if (isAdopted) this.adopted += change;
    else this.grantsByLane[lane] += change;
  }

  /** Number of outstanding grants, including adopted ones. */
  outstanding(): number {
    return this.grantsByLane.prompt + this.grantsByLane.heavy + this.adopted;
  }

  /** Largest number of slots that grants of the lane may use. */
  usableSlots(lane: Lane, limits: SlotLimits): number {
    const usable = limits.usable - this.predecessorSlots(limits);
    return lane === Lane.prompt ? usable : usable - this.reserved;
  }

  /** Number of slots that can be granted to the lane now. */
  free(lane: Lane, limits: SlotLimits): number {
    if (this.state !== 'live') return 0;
    const { prompt, heavy } = this.grantsByLane;
    const free = this.usableSlots(Lane.prompt, limits) - prompt - heavy;
    if (lane === Lane.prompt) return free;
    return Math.min(free, this.usableSlots(Lane.heavy, limits) - heavy);
  }

  /** Number of slots in use or quarantined. */
  occupied(limits: SlotLimits): number {
    return this.grantsByLane.prompt + this.grantsByLane.heavy + this.predecessorSlots(limits);
  }

  /**
   * Number of slots that grants of predecessors may use. The quarantined slots cover the adopted grants
   * too, so the greater number counts.
   */
  private predecessorSlots(limits: SlotLimits): number {
    return Math.max(this.areGrantsKnown ? 0 : limits.quarantined, this.adopted);
  }
}
