import type { QuarantineTimes } from './quarantine-times.js';

/** Slots that unreported grants of predecessors may still use. */
export class Quarantine {
  /** Creates an empty quarantine, for a partition without a predecessor. */
  static create(): Quarantine {
    return new Quarantine();
  }

  /** From this time on no grant that a predecessor made under its lease can be in use. */
  private leaseGrantsEndMs = 0;
  /** From this time on no grant that a predecessor made while holding can be in use. */
  private holdGrantsEndMs = 0;

  private constructor() {
    // Created without a predecessor.
  }

  /** Adds the times of a predecessor. Of each time, the later of the old and the new one applies. */
  extend(times: QuarantineTimes): void {
    this.leaseGrantsEndMs = Math.max(this.leaseGrantsEndMs, times.leaseGrantsEndMs);
    this.holdGrantsEndMs = Math.max(
      this.holdGrantsEndMs,
      times.holdGrantsEndMs,
      times.leaseGrantsEndMs,
    );
  }

  /** Moves `holdGrantsEndMs` to an earlier time, but not before `leaseGrantsEndMs`. */
  shortenHoldQuarantine(atMs: number): void {
    this.holdGrantsEndMs = Math.max(this.leaseGrantsEndMs, Math.min(this.holdGrantsEndMs, atMs));
  }

  /** Ends the quarantine at once. */
  end(): void {
    this.leaseGrantsEndMs = 0;
    this.holdGrantsEndMs = 0;
  }

  /** Returns the number of quarantined slots of each runner. */
  countSlots(nowMs: number, slotsPerRunner: number, heldSlots: number): number {
    if (nowMs < this.leaseGrantsEndMs) return slotsPerRunner;
    return nowMs < this.holdGrantsEndMs ? heldSlots : 0;
  }

  /** Returns the times at which the number of quarantined slots decreases. */
  endTimes(): readonly number[] {
    return [this.leaseGrantsEndMs, this.holdGrantsEndMs];
  }
}
