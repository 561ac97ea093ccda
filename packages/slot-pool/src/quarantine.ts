import type { QuarantineTimes } from './quarantine-times.js';

/** Slots that grants of former owners, unknown to this one, may still use. */
export class Quarantine {
  /** No former owner. */
  static create(): Quarantine {
    return new Quarantine();
  }

  private unheldFromMs = 0;
  private heldFromMs = 0;

  private constructor() {
    // Created without a former owner.
  }

  extend(times: QuarantineTimes): void {
    this.unheldFromMs = Math.max(this.unheldFromMs, times.unheldFromMs);
    this.heldFromMs = Math.max(this.heldFromMs, times.heldFromMs, times.unheldFromMs);
  }

  /** Moves the end of the held share's quarantine forward, never before that of the other share. */
  shortenHeldShare(atMs: number): void {
    this.heldFromMs = Math.max(this.unheldFromMs, Math.min(this.heldFromMs, atMs));
  }

  end(): void {
    this.unheldFromMs = 0;
    this.heldFromMs = 0;
  }

  /** Quarantined slots of each runner. */
  slots(nowMs: number, slotsPerRunner: number, heldSlots: number): number {
    if (nowMs < this.unheldFromMs) return slotsPerRunner;
    return nowMs < this.heldFromMs ? heldSlots : 0;
  }

  /** Times at which the number of quarantined slots falls. */
  endTimes(): readonly number[] {
    return [this.unheldFromMs, this.heldFromMs];
  }
}
