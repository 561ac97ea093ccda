import type { Clock } from '@acaciahoist/clock';

interface Options {
  clock: Clock;
  /** Number of actions a second in the long run. */
  perSecond: number;
  /** Number of actions that are permitted at once. */
  burst: number;
}

/** Limits the rate of an action with a token bucket. */
export class RateLimit {
  static create(options: Options): RateLimit {
    return new RateLimit(options);
  }

  private available: number;
  private refilledAtMs: number;

  private constructor(private readonly options: Options) {
    this.available = options.burst;
    this.refilledAtMs = options.clock.monotonicMs();
  }

  /** Counts an action; false when it exceeds the limit. */
  take(): boolean {
    const { clock, perSecond, burst } = this.options;
    const nowMs = clock.monotonicMs();
    const refill = ((nowMs - this.refilledAtMs) * perSecond) / 1_000;
    this.available = Math.min(burst, this.available + refill);
    this.refilledAtMs = nowMs;
    if (this.available < 1) return false;
    this.available -= 1;
    return true;
  }
}
