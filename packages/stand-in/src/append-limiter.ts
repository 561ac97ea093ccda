import type { Clock } from '@acaciahoist/clock';

/** Token bucket for the append rate over all streams. */
export class AppendLimiter {
  static create(clock: Clock, perSecond: number, burst: number): AppendLimiter {
    return new AppendLimiter(clock, perSecond, burst);
  }

  private tokens: number;
  private refilledAtMs: number;

  private constructor(
    private readonly clock: Clock,
    private perSecond: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
    this.refilledAtMs = clock.monotonicMs();
  }

  setRate(perSecond: number): void {
    this.refill();
    this.perSecond = perSecond;
    // A rate of zero refuses the next append, whatever was saved before.
    this.tokens = Math.min(this.tokens, perSecond);
  }

  /** Takes one append from the budget; false when the rate is exceeded. */
  takeToken(): boolean {
    this.refill();
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  private refill(): void {
    const now = this.clock.monotonicMs();
    const addedTokens = ((now - this.refilledAtMs) / 1_000) * this.perSecond;
    this.tokens = Math.min(this.burst, this.tokens + addedTokens);
    this.refilledAtMs = now;
  }
}
