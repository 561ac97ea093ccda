import type { Clock } from '@acaciahoist/clock';

/** Limits concurrent holders by a number of permits. Waiters acquire them in the order of their requests. */
export class Semaphore {
  static create(clock: Clock, permits: number): Semaphore {
    return new Semaphore(clock, permits);
  }

  private readonly waiters: ((isAcquired: boolean) => void)[] = [];

  private constructor(
    private readonly clock: Clock,
    private freePermits: number,
  ) {}

  /** Acquires a permit if one is free; never waits. */
  tryAcquire(): boolean {
    if (this.freePermits === 0) return false;
    this.freePermits -= 1;
    return true;
  }

  /** Waits for a permit; resolves with false when the deadline passes first. */
  acquire(deadlineAtMs: number): Promise<boolean> {
    if (this.tryAcquire()) return Promise.resolve(true);
    return new Promise((resolve) => {
      const waiter = (isAcquired: boolean): void => {
        cancelTimer();
        resolve(isAcquired);
      };
      const cancelTimer = this.clock.after(deadlineAtMs - this.clock.monotonicMs(), () => {
        this.waiters.splice(this.waiters.indexOf(waiter), 1);
        resolve(false);
      });
      this.waiters.push(waiter);
    });
  }

  /** Passes the permit to the first waiter, or makes it free. */
  release(): void {
    const next = this.waiters.shift();
    if (next === undefined) this.freePermits += 1;
    else next(true);
  }

  /** Resolves all waits with false. */
  cancelWaiters(): void {
    for (const waiter of this.waiters.splice(0)) waiter(false);
  }
}
