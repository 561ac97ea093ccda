import type { Clock } from '@acaciahoist/clock';

/**
 * Measures for how long the store has been unavailable. The time since its last answer would be
 * wrong: a process that sends no calls gets no answers.
 */
export class StoreOutage {
  static create(clock: Clock): StoreOutage {
    return new StoreOutage(clock);
  }

  /** Monotonic time since which an answer is due; undefined while none is due. */
  private unansweredSinceMs: number | undefined;

  private constructor(private readonly clock: Clock) {}

  /** Records a call that the store should answer after `waitMs` at the latest. */
  recordCall(waitMs: number): void {
    const dueMs = this.clock.monotonicMs() + waitMs;
    // The answer to a call without a wait is overdue before that to an outstanding read that waits.
    this.unansweredSinceMs = Math.min(this.unansweredSinceMs ?? dueMs, dueMs);
  }

  /** Records that the store answered, which ends the outage. */
  recordAnswer(): void {
    this.unansweredSinceMs = undefined;
  }

  /** Records that a call was refused or not answered. */
  recordFailure(): void {
    this.unansweredSinceMs = Math.min(
      this.unansweredSinceMs ?? Number.POSITIVE_INFINITY,
      this.clock.monotonicMs(),
    );
  }

  /** Time in ms for which an answer has been due; 0 while none is due. */
  durationMs(): number {
    if (this.unansweredSinceMs === undefined) return 0;
    return Math.max(0, this.clock.monotonicMs() - this.unansweredSinceMs);
  }
}
