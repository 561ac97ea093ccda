import { Instant } from '@acaciahoist/clock/instant';
import type { Clock } from '@acaciahoist/clock';

/**
 * The lease and the hold time of an owner. Their age counts the time for which the machine was suspended, so
 * that a jump of the wall clock ends them early and never late.
 */
export class Lease {
  static create(clock: Clock, leaseMs: number, holdMs: number): Lease {
    return new Lease(clock, leaseMs, holdMs);
  }

  /** Time before which the last durable record was certainly not appended. */
  private start: Instant;

  private constructor(
    private readonly clock: Clock,
    private readonly leaseMs: number,
    private readonly holdMs: number,
  ) {
    this.start = Instant.create(clock, Infinity);
  }

  /** Restarts the lease and the hold time at a time before the append was sent. Never shortens them. */
  extend(start: Instant): void {
    if (start.ageMs() < this.start.ageMs()) this.start = start;
  }

  /** Ends the lease and the hold time. */
  clear(): void {
    this.start = Instant.create(this.clock, Infinity);
  }

  /** Time since the start of the lease; infinite without one. */
  ageMs(): number {
    return this.start.ageMs();
  }

  /** Time until the lease ends; not positive when it has ended. */
  leaseLeftMs(): number {
    return this.leaseMs - this.ageMs();
  }

  /** Time until the hold time ends; not positive when it has ended. */
  holdLeftMs(): number {
    return this.holdMs - this.ageMs();
  }
}
