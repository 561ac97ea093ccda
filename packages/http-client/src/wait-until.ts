import { SystemClock } from '@acaciahoist/clock/system-clock';

const POLL_INTERVAL_MS = 2;

/** Waits until `check` holds; false when `timeoutMs` passed first. For states that give no event. */
export async function waitUntil(check: () => boolean, timeoutMs = 5_000): Promise<boolean> {
  const clock = SystemClock.create();
  const deadlineMs = clock.monotonicMs() + timeoutMs;
  while (!check()) {
    if (clock.monotonicMs() > deadlineMs) return false;
    await new Promise<void>((resolve) => clock.after(POLL_INTERVAL_MS, resolve));
  }
  return true;
}
