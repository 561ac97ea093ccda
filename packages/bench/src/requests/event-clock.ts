import type { Clock } from '@acaciahoist/clock';

interface Timer {
  dueMs: number;
  /** Order of creation, in which timers with the same due time run. */
  order: number;
  /** Undefined after a cancellation. */
  run: (() => void) | undefined;
}

/**
 * A simulated clock that advances from one timer to the next. A bench has hundreds of timers at a time, so
 * they are in a binary heap; `ManualClock` scans all of them for each step.
 */
export class EventClock implements Clock {
  static create(): EventClock {
    return new EventClock();
  }

  private nowMs = 0;
  private nextOrder = 0;
  private readonly heap: Timer[] = [];

  private constructor() {
    // Starts at time 0 without timers.
  }

  monotonicMs(): number {
    return this.nowMs;
  }

  wallMs(): number {
    return this.nowMs;
  }

  after(delayMs: number, run: () => void): () => void {
    const dueMs = this.nowMs + Math.max(0, delayMs);
    const timer: Timer = { dueMs, order: this.nextOrder++, run };
    this.push(timer);
    return () => {
      timer.run = undefined;
    };
  }

  /** Runs the timers due by `endMs` and, after each one, the callbacks of the promises that it settled. */
  async runUntil(endMs: number): Promise<void> {
    for (;;) {
      const timer = this.heap[0];
      if (timer === undefined || timer.dueMs > endMs) break;
      this.removeFirst();
      if (timer.run === undefined) continue;
      this.nowMs = timer.dueMs;
      timer.run();
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    this.nowMs = endMs;
  }

  private push(timer: Timer): void {
    let index = this.heap.length;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const parentTimer = this.heap[parent];
      if (parentTimer === undefined || !isEarlier(timer, parentTimer)) break;
      this.heap[index] = parentTimer;
      index = parent;
    }
    this.heap[index] = timer;
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      const left = this.heap[child];
      const right = this.heap[child + 1];
      if (left === undefined) break;
      if (right !== undefined && isEarlier(right, left)) child += 1;
      const earlierChild = this.heap[child];
      if (earlierChild === undefined || !isEarlier(earlierChild, last)) break;
      this.heap[index] = earlierChild;
      index = child;
    }
    this.heap[index] = last;
  }
}

function isEarlier(left: Timer, right: Timer): boolean {
  return left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.order < right.order);
}
