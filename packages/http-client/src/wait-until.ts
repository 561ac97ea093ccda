import { SystemClock } from '@acaciahoist/clock/system-clock';

const POLL_INTERVAL_MS = 2;

/**
 * Polls `check` until it returns true; resolves with false when `timeoutMs` passes first. For tests that
 * wait for a state whose change emits no event.
 */
export async function waitUntil(check: () => boolean, timeoutMs = 5_000): Promise<boolean> {
  const clock = SystemClock.create();
  const deadlineAtMs = clock.monotonicMs() + timeoutMs;
  while (!check()) {
    if (clock.monotonicMs() > deadlineAtMs) return false;
    await new Promise<void>((resolve) => clock.after(POLL_INTERVAL_MS, resolve));
  }
  return true;
}
