import type { QuarantineTimes } from './quarantine-times.js';

/** Slots that unreported grants of predecessors may still use. */
export class Quarantine {
  /** Creates an empty quarantine, for a partition without a predecessor. */
  static create(): Quarantine {
    return new Quarantine();
  }

  /** From this time on no grant that a predecessor made under its lease can be in use. */
  private leaseGrantsEndAtMs = 0;
  /** From this time on no grant that a predecessor made while holding can be in use. */
  private holdGrantsEndAtMs = 0;

  private constructor() {
    // Created without a predecessor.
  }

  /** Adds the times of a predecessor. Of each time, the later of the old and the new one applies. */
  extend(times: QuarantineTimes): void {
    this.leaseGrantsEndAtMs = Math.max(this.leaseGrantsEndAtMs, times.leaseGrantsEndAtMs);
    this.holdGrantsEndAtMs = Math.max(
      this.holdGrantsEndAtMs,
      times.holdGrantsEndAtMs,
      times.leaseGrantsEndAtMs,
    );
  }

  /** Moves `holdGrantsEndAtMs` to an earlier time, but not before `leaseGrantsEndAtMs`. */
  shortenHoldQuarantine(atMs: number): void {
    this.holdGrantsEndAtMs = Math.max(
      this.leaseGrantsEndAtMs,
      Math.min(this.holdGrantsEndAtMs, atMs),
    );
  }

  /** Ends the quarantine at once. */
  end(): void {
    this.leaseGrantsEndAtMs = 0;
    this.holdGrantsEndAtMs = 0;
  }

  /** Returns the number of quarantined slots of each runner. */
  countSlots(nowMs: number, slotsPerRunner: number, heldSlots: number): number {
    if (nowMs < this.leaseGrantsEndAtMs) return slotsPerRunner;
    return nowMs < this.holdGrantsEndAtMs ? heldSlots : 0;
  }

  /** Returns the times at which the number of quarantined slots decreases. */
  endTimes(): readonly number[] {
    return [this.leaseGrantsEndAtMs, this.holdGrantsEndAtMs];
  }
}
