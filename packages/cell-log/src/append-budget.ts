/** Most bytes of one append. The store accepts 2 MiB; smaller appends keep its partition responsive. */
const MAX_BYTES = 1_000_000;
/** Least bytes of one append: a few records of jobs, so that each append carries some whatever the store takes. */
const MIN_BYTES = 16_384;
/** A round trip takes 5 ms, or 20 ms beside load; a longer one in ms shows that the store is slow. */
const SLOW_ROUND_TRIP_MS = 150;
/** Bytes of the first appends to a slow store, before it is known how many it takes in time. */
const FIRST_SLOW_BYTES = 32_768;
/** A start is dropped when its record takes 900 ms, so that round trips must stay below that. */
const LONG_ROUND_TRIP_MS = 750;
const SHORT_ROUND_TRIP_MS = 650;
const DECREASE_FACTOR = 0.7;
const INCREASE_FACTOR = 1.25;

/**
 * Limits the bytes of one append by the round-trip times of earlier ones. Load pattern: a store that is tens of times
 * slower, also in bytes per second, while many jobs are submitted. An append of all waiting records would take
 * seconds, and the records of starts behind it would be too old.
 */
export class AppendBudget {
  static create(): AppendBudget {
    return new AppendBudget();
  }

  private bytes = MAX_BYTES;
  private decreasedAtMs = Number.NEGATIVE_INFINITY;

  get maxBytes(): number {
    return this.bytes;
  }

  /** Whether the newest round trips showed a slow store. */
  get isLimited(): boolean {
    return this.bytes < MAX_BYTES;
  }

  /** Records the round trip of an append that was sent at this time. */
  recordRoundTrip(sentAtMs: number, roundTripMs: number): void {
    if (roundTripMs > SLOW_ROUND_TRIP_MS && !this.isLimited) {
      this.bytes = FIRST_SLOW_BYTES;
      this.decreasedAtMs = sentAtMs + roundTripMs;
    } else if (roundTripMs > LONG_ROUND_TRIP_MS) {
      // The round trips of appends that were sent before the last decrease do not show its effect.
      if (sentAtMs < this.decreasedAtMs) return;
      this.bytes = Math.max(MIN_BYTES, this.bytes * DECREASE_FACTOR);
      this.decreasedAtMs = sentAtMs + roundTripMs;
    } else if (roundTripMs < SHORT_ROUND_TRIP_MS)
      this.bytes = Math.min(MAX_BYTES, this.bytes * INCREASE_FACTOR);
  }
}
