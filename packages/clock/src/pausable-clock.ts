import type { Clock } from './clock.js';

interface Timer {
  dueAtMs: number;
  /** Total duration in ms of the suspensions that had ended when the timer was scheduled. */
  suspendedMs: number;
  isCancelled: boolean;
  cancel: () => void;
  run: () => void;
}

/**
 * Clock of one process that can be paused or suspended. Timers that come due and values that arrive in
 * the meantime are deferred until the process resumes.
 */
export class PausableClock implements Clock {
  static create(base: Clock): PausableClock {
    return new PausableClock(base);
  }

  /** Total duration in ms of the suspensions that have ended. */
  private suspendedMs = 0;
  private wallOffsetMs = 0;
  /** The current pause or suspension; undefined while the process runs. */
  private interruption: { sinceMs: number; isSuspended: boolean } | undefined;
  private deferredTimers: Timer[] = [];
  private deferredArrivals: (() => void)[] = [];

  private constructor(private readonly base: Clock) {}

  /** True while the process is paused or suspended. */
  get isStopped(): boolean {
    return this.interruption !== undefined;
  }

  monotonicMs(): number {
    const nowMs =
      this.interruption?.isSuspended === true ? this.interruption.sinceMs : this.base.monotonicMs();
    return nowMs - this.suspendedMs;
  }

  wallMs(): number {
    return this.base.wallMs() + this.wallOffsetMs;
  }

  /** Shifts the wall clock of this process only. */
  jumpWall(byMs: number): void {
    this.wallOffsetMs += byMs;
  }

  after(delayMs: number, run: () => void): () => void {
    const timer: Timer = {
      dueAtMs: this.monotonicMs() + Math.max(0, delayMs),
      suspendedMs: 0,
      isCancelled: false,
      cancel: () => undefined,
      run,
    };
    this.schedule(timer);
    return () => {
      timer.isCancelled = true;
      timer.cancel();
    };
  }

  /** Resolves with the value once it is available and the process runs. */
  async deliver<Value>(value: Promise<Value>): Promise<Value> {
    const arrived = await value;
    while (this.isStopped)
      await new Promise<void>((resolve) => {
        this.deferredArrivals.push(resolve);
      });
    return arrived;
  }

  /** Pauses the process; its monotonic time continues. */
  pause(): void {
    this.interruption ??= { sinceMs: this.base.monotonicMs(), isSuspended: false };
  }

  /** Suspends the machine of the process: its monotonic time stops, its wall clock continues. */
  suspend(): void {
    this.interruption ??= { sinceMs: this.base.monotonicMs(), isSuspended: true };
  }

  /** Ends the pause or suspension. Returns the deferred callbacks, for the caller to run one at a time. */
  resume(): { timers: (() => void)[]; arrivals: (() => void)[] } {
    if (this.interruption?.isSuspended === true)
      this.suspendedMs += this.base.monotonicMs() - this.interruption.sinceMs;
    this.interruption = undefined;
    const timers = this.deferredTimers
      .splice(0)
      .sort((left, right) => left.dueAtMs - right.dueAtMs);
    const arrivals = this.deferredArrivals.splice(0);
    return {
      timers: timers.map((timer) => () => {
        this.fire(timer);
      }),
      arrivals,
    };
  }

  private schedule(timer: Timer): void {
    timer.suspendedMs = this.suspendedMs;
    timer.cancel = this.base.after(timer.dueAtMs - this.monotonicMs(), () => {
      this.fire(timer);
    });
  }

  private fire(timer: Timer): void {
    if (timer.isCancelled) return;
    if (this.isStopped) this.deferredTimers.push(timer);
    // A suspension since the timer was scheduled postpones it.
    else if (timer.suspendedMs !== this.suspendedMs && timer.dueAtMs > this.monotonicMs())
      this.schedule(timer);
    else timer.run();
  }
}
