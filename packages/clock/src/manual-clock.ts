import type { Clock } from './clock.js';

interface Timer {
  dueAtMs: number;
  sequence: number;
  run: () => void;
}

/** Clock that moves only by calls of its methods. For tests and for replaying recorded schedules. */
export class ManualClock implements Clock {
  static create(startWallMs = 0): ManualClock {
    return new ManualClock(startWallMs);
  }

  private elapsedMs = 0;
  private timers: Timer[] = [];
  private nextSequence = 0;

  private constructor(private wallOffsetMs: number) {}

  monotonicMs(): number {
    return this.elapsedMs;
  }

  wallMs(): number {
    return this.elapsedMs + this.wallOffsetMs;
  }

  after(delayMs: number, run: () => void): () => void {
    const timer = {
      dueAtMs: this.elapsedMs + Math.max(0, delayMs),
      sequence: this.nextSequence++,
      run,
    };
    this.timers.push(timer);
    return () => {
      this.timers = this.timers.filter((candidate) => candidate !== timer);
    };
  }

  /**
   * Moves time forward and runs every timer that comes due, in order of due time and then of creation.
   * Returns the number of timers run.
   */
  advance(byMs: number): number {
    const endMs = this.elapsedMs + byMs;
    let count = 0;
    for (;;) {
      const next = this.findEarliest();
      if (next === undefined || next.dueAtMs > endMs) break;
      this.timers = this.timers.filter((candidate) => candidate !== next);
      this.elapsedMs = next.dueAtMs;
      next.run();
      count += 1;
    }
    this.elapsedMs = endMs;
    return count;
  }

  /** Shifts the wall clock without moving monotonic time. */
  jumpWall(byMs: number): void {
    this.wallOffsetMs += byMs;
  }

  private findEarliest(): Timer | undefined {
    let earliest: Timer | undefined;
    for (const timer of this.timers) {
      if (earliest === undefined || timer.dueAtMs < earliest.dueAtMs) earliest = timer;
      else if (timer.dueAtMs === earliest.dueAtMs && timer.sequence < earliest.sequence)
        earliest = timer;
    }
    return earliest;
  }
}
