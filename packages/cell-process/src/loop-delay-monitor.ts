import type { Clock } from '@acaciahoist/clock';

/** Interval in ms of the measurements while this process owns the cell and the delay influences decisions. */
const FREQUENT_INTERVAL_MS = 40;
/** Interval in ms of the measurements while this process does not own the cell and mainly reports them. */
const IDLE_INTERVAL_MS = 500;
/** Weight of the newest measurement in the average; low, so that a single pause has little effect. */
const NEWEST_WEIGHT = 0.2;
/**
 * Maximum delay in ms that counts in the average; a longer one counts as this, because it comes from a pause
 * of the process, not from lasting load.
 */
const MAX_DELAY_MS = 200;

interface Options {
  clock: Clock;
  /** Receives each measurement. */
  observe: (delayMs: number) => void;
}

/**
 * Measures the event-loop delay of this process, by how late a timer fires, and averages it. Work that can
 * wait is done less often while the delay is high.
 */
export class LoopDelayMonitor {
  static create(options: Options): LoopDelayMonitor {
    return new LoopDelayMonitor(options);
  }

  /** Exponentially weighted moving average of the measurements. */
  private averageMs = 0;
  private intervalMs = IDLE_INTERVAL_MS;
  private cancel: () => void = () => undefined;

  private constructor(private readonly options: Options) {}

  /** Starts the measurements; each one schedules the next. */
  start(): void {
    const { clock, observe } = this.options;
    const dueAtMs = clock.monotonicMs() + this.intervalMs;
    this.cancel = clock.after(this.intervalMs, () => {
      const delayMs = Math.max(0, clock.monotonicMs() - dueAtMs);
      observe(delayMs);
      this.averageMs += (Math.min(delayMs, MAX_DELAY_MS) - this.averageMs) * NEWEST_WEIGHT;
      this.start();
    });
  }

  /** Sets the interval of the measurements; frequent ones use more processor time. */
  setFrequent(isFrequent: boolean): void {
    this.intervalMs = isFrequent ? FREQUENT_INTERVAL_MS : IDLE_INTERVAL_MS;
    this.cancel();
    this.start();
  }

  stop(): void {
    this.cancel();
  }

  /** Returns the average event-loop delay in ms. */
  delayMs(): number {
    return this.averageMs;
  }
}
