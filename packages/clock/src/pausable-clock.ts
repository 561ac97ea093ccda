import type { Clock } from './index.js';

interface Timer {
  dueMs: number;
  /** Time of suspensions, in ms, that is taken into account. */
  lostMs: number;
  isCancelled: boolean;
  disarm: () => void;
  run: () => void;
}

/**
 * The clock of one process that can stand still. Timers that fall due meanwhile, and answers that arrive,
 * are held back until it goes on.
 */
export class PausableClock implements Clock {
  static create(base: Clock): PausableClock {
    return new PausableClock(base);
  }

  /** Time in ms of the suspensions that are over. */
  private lostMs = 0;
  private jumpedMs = 0;
  private stopped: { sinceMs: number; isSuspended: boolean } | undefined;
  private heldTimers: Timer[] = [];
  private heldArrivals: (() => void)[] = [];

  private constructor(private readonly base: Clock) {}

  get isStopped(): boolean {
    return this.stopped !== undefined;
  }

  monotonicMs(): number {
    const nowMs =
      this.stopped?.isSuspended === true ? this.stopped.sinceMs : this.base.monotonicMs();
    return nowMs - this.lostMs;
  }

  wallMs(): number {
    return this.base.wallMs() + this.jumpedMs;
  }

  /** Shifts the time of day of this process only. */
  jumpWall(byMs: number): void {
    this.jumpedMs += byMs;
  }

  after(delayMs: number, run: () => void): () => void {
    const timer: Timer = {
      dueMs: this.monotonicMs() + Math.max(0, delayMs),
      lostMs: 0,
      isCancelled: false,
      disarm: () => undefined,
      run,
    };
    this.arm(timer);
    return () => {
      timer.isCancelled = true;
      timer.disarm();
    };
  }

  /** The value once it is there and the process runs. */
  async arrival<Value>(value: Promise<Value>): Promise<Value> {
    const arrived = await value;
    while (this.isStopped)
      await new Promise<void>((resolve) => {
        this.heldArrivals.push(resolve);
      });
    return arrived;
  }

  /** The process is frozen; its monotonic time goes on. */
  pause(): void {
    this.stopped ??= { sinceMs: this.base.monotonicMs(), isSuspended: false };
  }

  /** The machine is suspended: the monotonic time stands still, the time of day goes on. */
  suspend(): void {
    this.stopped ??= { sinceMs: this.base.monotonicMs(), isSuspended: true };
  }

  /** Goes on. Returns what was held back, for the caller to run one by one. */
  resume(): { timers: (() => void)[]; arrivals: (() => void)[] } {
    if (this.stopped?.isSuspended === true)
      this.lostMs += this.base.monotonicMs() - this.stopped.sinceMs;
    this.stopped = undefined;
    const timers = this.heldTimers.splice(0).sort((left, right) => left.dueMs - right.dueMs);
    const arrivals = this.heldArrivals.splice(0);
    return {
      timers: timers.map((timer) => () => {
        this.fallDue(timer);
      }),
      arrivals,
    };
  }

  private arm(timer: Timer): void {
    timer.lostMs = this.lostMs;
    timer.disarm = this.base.after(timer.dueMs - this.monotonicMs(), () => {
      this.fallDue(timer);
    });
  }

  private fallDue(timer: Timer): void {
    if (timer.isCancelled) return;
    if (this.isStopped) this.heldTimers.push(timer);
    // A suspension since the timer was armed puts it off.
    else if (timer.lostMs !== this.lostMs && timer.dueMs > this.monotonicMs()) this.arm(timer);
    else timer.run();
  }
}
