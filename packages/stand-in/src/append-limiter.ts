import type { Clock } from '@acaciahoist/clock';

/** Token bucket that limits the append rate over all streams. */
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

  /** Sets the rate from now on, and removes the tokens above those of one second. */
  setRate(perSecond: number): void {
    this.refill();
    this.perSecond = perSecond;
    // With a rate of zero, the next append is refused even if tokens are left.
    this.tokens = Math.min(this.tokens, perSecond);
  }

  /** Takes the token for one append; false when the rate is exceeded. */
  takeToken(): boolean {
    this.refill();
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Adds the tokens for the time since the last call, up to the burst. */
  private refill(): void {
    const nowMs = this.clock.monotonicMs();
    const addedTokens = ((nowMs - this.refilledAtMs) / 1_000) * this.perSecond;
    this.tokens = Math.min(this.burst, this.tokens + addedTokens);
    this.refilledAtMs = nowMs;
  }
}
