import type { Clock } from '@acaciahoist/clock';

/** Interval in ms of the timer whose lateness is measured: while it decides, and else for the record. */
const FREQUENT_INTERVAL_MS = 40;
const IDLE_INTERVAL_MS = 500;
/** Weight of the newest measurement; several of them outweigh one pause. */
const NEWEST_WEIGHT = 0.2;
/** A longer delay in ms is a pause of the process, such as a freeze, and not a load that lasts. */
const MAX_DELAY_MS = 200;

interface Options {
  clock: Clock;
  observe: (delayMs: number) => void;
}

/**
 * Delay with which this process gets to its work: how late its timers fire, smoothed. Work that can wait
 * is done less often while it is high.
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

  /** Measures often, or seldom: each measurement wakes the process up. */
  setFrequent(isFrequent: boolean): void {
    this.intervalMs = isFrequent ? FREQUENT_INTERVAL_MS : IDLE_INTERVAL_MS;
    this.cancel();
    this.start();
  }

  stop(): void {
    this.cancel();
  }

  delayMs(): number {
    return this.smoothedMs;
  }
}
