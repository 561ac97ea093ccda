import type { Clock } from '@acaciahoist/clock';

/** Interval in ms of the measured timer while this process owns the cell, when the delay influences decisions. */
const FREQUENT_INTERVAL_MS = 40;
/** The same while it does not, when the delay serves mainly the metrics. */
const IDLE_INTERVAL_MS = 500;
/** Weight of the newest measurement in the average: low enough that a single pause has little effect. */
const NEWEST_WEIGHT = 0.2;
/**
 * Upper limit in ms of a measurement in the average: a longer delay comes from a pause of the process, not
 * from lasting load.
 */
const MAX_DELAY_MS = 200;

interface Options {
  clock: Clock;
  /** Receives each measurement. */
  observe: (delayMs: number) => void;
}

/**
 * LoopDelayMonitor measures the event-loop delay of this process, by how late a timer fires, and averages
 * it. Work that can wait is done less often while the delay is high.
 */
export class LoopDelayMonitor {
  static create(options: Options): LoopDelayMonitor {
    return new LoopDelayMonitor(options);
  }

  private smoothedMs = 0;
  private intervalMs = IDLE_INTERVAL_MS;
  private cancel: () => void = () => undefined;

  private constructor(private readonly options: Options) {}

  start(): void {
    const { clock, observe } = this.options;
    const dueMs = clock.monotonicMs() + this.intervalMs;
    this.cancel = clock.after(this.intervalMs, () => {
      const delayMs = Math.max(0, clock.monotonicMs() - dueMs);
      observe(delayMs);
      this.smoothedMs += (Math.min(delayMs, MAX_DELAY_MS) - this.smoothedMs) * NEWEST_WEIGHT;
      this.start();
    });
  }

  /** Sets the interval of measurements; frequent ones cost more, as each one wakes the process up. */
  setFrequent(isFrequent: boolean): void {
    this.intervalMs = isFrequent ? FREQUENT_INTERVAL_MS : IDLE_INTERVAL_MS;
    this.cancel();
    this.start();
  }

  stop(): void {
    this.cancel();
  }

  /** The averaged event-loop delay in ms. */
  delayMs(): number {
    return this.smoothedMs;
  }
}
