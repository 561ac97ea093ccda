import type { Clock } from './clock.js';

/**
 * A point in time whose age is an upper bound. Monotonic time does not count the time for which a machine
 * is suspended; the wall clock does, but may jump. The age is the larger of the two.
 */
export class Instant {
  /** Returns the current time, or the time `ageMs` before it. */
  static create(clock: Clock, ageMs = 0): Instant {
    return new Instant(clock, clock.monotonicMs() - ageMs, clock.wallMs() - ageMs);
  }

  private constructor(
    private readonly clock: Clock,
    private readonly monotonicMs: number,
    private readonly wallMs: number,
  ) {}

  /** Time in ms since this instant, including suspensions. */
  ageMs(): number {
    const { clock } = this;
    return Math.max(clock.monotonicMs() - this.monotonicMs, clock.wallMs() - this.wallMs);
  }
}
