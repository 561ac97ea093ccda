import type { EventClock } from './event-clock.js';

/** A simulated runner that serves a fixed number of requests at a time and queues the others in order. */
export class FakeRunner {
  static create(clock: EventClock, slots: number): FakeRunner {
    return new FakeRunner(clock, slots);
  }

  /** Largest number of requests that the runner had at once, waiting ones included. */
  mostRequests = 0;
  private busySlots = 0;
  private lastChangeAtMs = 0;
  private busyMs = 0;
  private readonly waiting: (() => void)[] = [];

  private constructor(
    private readonly clock: EventClock,
    private readonly slots: number,
  ) {}

  /** Serves a request; resolves when it has ended. */
  run(serviceMs: number): Promise<void> {
    return new Promise((resolve) => {
      const begin = (): void => {
        this.changeBusySlots(1);
        this.clock.after(serviceMs, () => {
          this.changeBusySlots(-1);
          resolve();
          this.waiting.shift()?.();
        });
      };
      if (this.busySlots < this.slots) begin();
      else this.waiting.push(begin);
      this.mostRequests = Math.max(this.mostRequests, this.busySlots + this.waiting.length);
    });
  }

  /** Time for which the slots have been in use so far, summed over the slots. */
  totalBusyMs(): number {
    this.changeBusySlots(0);
    return this.busyMs;
  }

  private changeBusySlots(by: number): void {
    const nowMs = this.clock.monotonicMs();
    this.busyMs += this.busySlots * (nowMs - this.lastChangeAtMs);
    this.lastChangeAtMs = nowMs;
    this.busySlots += by;
  }
}
