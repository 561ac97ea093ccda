/** Number of values beyond which the older ones lose half of their weight. */
const MAX_COUNT = 64;
/** Largest magnitude of a value: a straggler counts as one slow run only. */
const MAX_VALUE = 1;
/** Lower bound on the variance of a value, which is almost 0 after few equal run times. */
const MIN_VARIANCE = 0.01;

/** Mean of the logarithms of ratios, of which the newest weigh most, and the variance of its error. */
export class RatioStatistic {
  static create(): RatioStatistic {
    return new RatioStatistic();
  }

  private weight = 0;
  private sum = 0;
  private squareSum = 0;
  private lastStep = '';

  get count(): number {
    return Math.floor(this.weight);
  }

  get mean(): number {
    return this.sum / Math.max(1, this.weight);
  }

  get errorVariance(): number {
    const variance = this.squareSum / Math.max(1, this.weight) - this.mean ** 2;
    return Math.max(MIN_VARIANCE, variance) / Math.max(1, this.weight - 1);
  }

  /** Adds a value, unless the value before is of the same step: its tasks share the error of the estimate. */
  add(logRatio: number, step: string): void {
    if (step === this.lastStep) return;
    this.lastStep = step;
    if (this.weight >= MAX_COUNT) {
      this.weight /= 2;
      this.sum /= 2;
      this.squareSum /= 2;
    }
    const value = Math.max(-MAX_VALUE, Math.min(MAX_VALUE, logRatio));
    this.weight += 1;
    this.sum += value;
    this.squareSum += value ** 2;
  }
}
