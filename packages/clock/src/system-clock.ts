import type { Clock } from './clock.js';

/** Longest delay that Node's timers accept; a timer with a longer delay fires at once. */
const MAX_TIMER_MS = 2_147_483_647;

/** Clock of the machine. */
export class SystemClock implements Clock {
  static create(): SystemClock {
    return new SystemClock();
  }

  monotonicMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }

  after(delayMs: number, run: () => void): () => void {
    const timer = setTimeout(run, Math.min(Math.max(0, delayMs), MAX_TIMER_MS));
    return () => {
      clearTimeout(timer);
    };
  }
}
