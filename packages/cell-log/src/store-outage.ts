import type { Clock } from '@acaciahoist/clock';

/**
 * Measures how long the store has been unavailable. The time since its last response would be a
 * wrong measure: a process that sends no calls gets no responses.
 */
export class StoreOutage {
  static create(clock: Clock): StoreOutage {
    return new StoreOutage(clock);
  }

  /** Monotonic time since which a response is due; undefined while none is due. */
  private unansweredSinceMs: number | undefined;

  private constructor(private readonly clock: Clock) {}

  /** Records a call that the store should answer after `waitMs` at the latest. */
  recordCall(waitMs: number): void {
    const dueAtMs = this.clock.monotonicMs() + waitMs;
    // A call without a wait is overdue earlier than an outstanding read that waits for records.
    this.unansweredSinceMs = Math.min(this.unansweredSinceMs ?? dueAtMs, dueAtMs);
  }

  /** Records that the store answered, which ends the outage. */
  recordResponse(): void {
    this.unansweredSinceMs = undefined;
  }

  /** Records that a call was refused or got no response. */
  recordFailure(): void {
    this.unansweredSinceMs = Math.min(
      this.unansweredSinceMs ?? Number.POSITIVE_INFINITY,
      this.clock.monotonicMs(),
    );
  }

  /** Time in ms for which a response has been due; 0 while none is due. */
  durationMs(): number {
    if (this.unansweredSinceMs === undefined) return 0;
    return Math.max(0, this.clock.monotonicMs() - this.unansweredSinceMs);
  }
}
