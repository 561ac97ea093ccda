/** Delays between retries, doubled after each retry up to a limit. */
export class BackOff {
  static create(firstMs: number, maxMs: number): BackOff {
    return new BackOff(firstMs, maxMs);
  }

  private currentMs: number;

  private constructor(
    private readonly firstMs: number,
    private readonly maxMs: number,
  ) {
    this.currentMs = firstMs;
  }

  /** Returns the delay before the next retry, in ms. */
  next(): number {
    const delayMs = this.currentMs;
    this.currentMs = Math.min(this.maxMs, delayMs * 2);
    return delayMs;
  }

  /** Resets the next delay to the first one. Called after a success. */
  reset(): void {
    this.currentMs = this.firstMs;
  }
}
