import type { Clock } from '@acaciahoist/clock';

/**
 * Tells for how long a store has owed an answer. The time since the last answer would not do: a process
 * that has nothing to ask gets none.
 */
export class StoreSilence {
  static create(clock: Clock): StoreSilence {
    return new StoreSilence(clock);
  }

  /** Monotonic time since which an answer is owed; undefined while none is. */
  private unansweredSinceMs: number | undefined;

  private constructor(private readonly clock: Clock) {}

  /** A call was sent that is answered after `waitMs` at the latest. */
  called(waitMs: number): void {
    const dueMs = this.clock.monotonicMs() + waitMs;
    // A call that is answered at once tells earlier than a read that waits beside it.
    this.unansweredSinceMs = Math.min(this.unansweredSinceMs ?? dueMs, dueMs);
  }

  /** The store answered a call. */
  answered(): void {
    this.unansweredSinceMs = undefined;
  }

  /** A call was refused or not answered. */
  failed(): void {
    this.unansweredSinceMs = Math.min(
      this.unansweredSinceMs ?? Number.POSITIVE_INFINITY,
      this.clock.monotonicMs(),
    );
  }

  /** Time in ms for which an answer has been owed. */
  ms(): number {
    if (this.unansweredSinceMs === undefined) return 0;
    return Math.max(0, this.clock.monotonicMs() - this.unansweredSinceMs);
  }
}
