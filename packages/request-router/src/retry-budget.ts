import type { Clock } from '@acaciahoist/clock';

/** Retries that each first attempt adds to the budget. */
const RETRIES_PER_FIRST_ATTEMPT = 0.1;
/** Retries that each second adds to the budget, so that a service with few requests can also retry. */
const RETRIES_PER_SECOND = 3;
/** Ten seconds of `RETRIES_PER_SECOND`; more saved retries would permit a burst during an outage. */
const MAX_SAVED_RETRIES = 30;

/** Limits retries by one token bucket for each service. */
export class RetryBudget {
  /** The rate per second is divided by the number of live processes that route requests. */
  static create(clock: Clock, countLiveProcesses: () => number = () => 1): RetryBudget {
    return new RetryBudget(clock, countLiveProcesses);
  }

  private readonly buckets = new Map<string, { savedRetries: number; refilledAtMs: number }>();

  private constructor(
    private readonly clock: Clock,
    private readonly countLiveProcesses: () => number,
  ) {}

  /** Adds the share of a retry that a first attempt earns. */
  countFirstAttempt(service: string): void {
    const bucket = this.refill(service);
    bucket.savedRetries = Math.min(
      MAX_SAVED_RETRIES,
      bucket.savedRetries + RETRIES_PER_FIRST_ATTEMPT,
    );
  }

  /** Takes one retry from the budget of the service; false when none is left. */
  takeRetry(service: string): boolean {
    const bucket = this.refill(service);
    if (bucket.savedRetries < 1) return false;
    bucket.savedRetries -= 1;
    return true;
  }

  private refill(service: string): { savedRetries: number; refilledAtMs: number } {
    const nowMs = this.clock.monotonicMs();
    const perSecond = RETRIES_PER_SECOND / Math.max(1, this.countLiveProcesses());
    const bucket = this.buckets.get(service) ?? { savedRetries: perSecond, refilledAtMs: nowMs };
    const earned = ((nowMs - bucket.refilledAtMs) * perSecond) / 1_000;
    bucket.savedRetries = Math.min(MAX_SAVED_RETRIES, bucket.savedRetries + earned);
    bucket.refilledAtMs = nowMs;
    this.buckets.set(service, bucket);
    return bucket;
  }
}
