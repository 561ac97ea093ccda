import { Lane } from './lane.js';
import type { SlotLimits } from './slot-limits.js';

/** Counts the outstanding grants of one runner and computes its free slots. */
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
  changeCount(lane: Lane, isAdopted: boolean, change: 1 | -1): void {
    if (isAdopted) this.adopted += change;
    else this.grantsByLane[lane] += change;
  }

  /** Number of outstanding grants, including adopted ones. */
  countOutstanding(): number {
    return this.grantsByLane.prompt + this.grantsByLane.heavy + this.adopted;
  }

  /** Largest number of slots that grants of the lane may use. */
  countUsable(lane: Lane, limits: SlotLimits): number {
    const usable = limits.usable - this.countPredecessorSlots(limits);
    return lane === Lane.prompt ? usable : usable - this.reserved;
  }

  /** Number of slots that can be granted to the lane now. */
  countFree(lane: Lane, limits: SlotLimits): number {
    if (this.state !== 'live') return 0;
    const { prompt, heavy } = this.grantsByLane;
    const free = this.countUsable(Lane.prompt, limits) - prompt - heavy;
    if (lane === Lane.prompt) return free;
    return Math.min(free, this.countUsable(Lane.heavy, limits) - heavy);
  }

  /** Number of slots in use or quarantined. */
  countOccupied(limits: SlotLimits): number {
    return this.grantsByLane.prompt + this.grantsByLane.heavy + this.countPredecessorSlots(limits);
  }

  /**
   * Number of slots that grants of predecessors may use. The quarantined slots cover the adopted grants
   * too, so the greater number counts.
   */
  private countPredecessorSlots(limits: SlotLimits): number {
    return Math.max(this.areGrantsKnown ? 0 : limits.quarantined, this.adopted);
  }
}
