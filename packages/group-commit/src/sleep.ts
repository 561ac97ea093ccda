import type { Clock } from '@acaciahoist/clock';

/** Resolves after `ms` of monotonic time. */
export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(ms, resolve);
  });
}
