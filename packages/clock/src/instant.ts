import type { Clock } from './index.js';

/**
 * A point in time whose age is never told too low. The steady clock does not count the time for which a
 * machine is suspended; the time of day does, but may jump. The larger of both ages counts.
 */
export class Instant {
  /** The present, or the time `ageMs` before it. */
  static create(clock: Clock, ageMs = 0): Instant {
    return new Instant(clock, clock.monotonicMs() - ageMs, clock.wallMs() - ageMs);
  }

  private constructor(
    private readonly clock: Clock,
    private readonly monotonicMs: number,
    private readonly wallMs: number,
  ) {}

  /** Time in ms that has passed since, suspensions included. */
  ageMs(): number {
    const { clock } = this;
    return Math.max(clock.monotonicMs() - this.monotonicMs, clock.wallMs() - this.wallMs);
  }
}
