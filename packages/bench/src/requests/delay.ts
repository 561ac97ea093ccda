import type { EventClock } from './event-clock.js';

/** Resolves after `delayMs`, the time that a message takes. */
export function delay(clock: EventClock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(delayMs, resolve);
  });
}
