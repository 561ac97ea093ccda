/** Source of time and timers. All values are milliseconds. */
export interface Clock {
  /** Time since an arbitrary origin; never decreases. Used for every duration and lease. */
  monotonicMs(): number;
  /** Time since the Unix epoch; may jump. Used for times that users set and for account periods. */
  wallMs(): number;
  /** Runs `run` once after `delayMs` of monotonic time. Returns a function that cancels the timer. */
  after(delayMs: number, run: () => void): () => void;
}
