import type { ManualClock } from '@acaciahoist/clock/manual-clock';

/** Advances a manual clock in steps and runs the pending promise callbacks after each step. For tests. */
export async function advance(
  clock: ManualClock,
  ms: number,
  stepMs = 10,
  afterStep: () => void = () => undefined,
): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += stepMs) {
    clock.advance(Math.min(stepMs, ms - elapsedMs));
    await new Promise((resolve) => setImmediate(resolve));
    afterStep();
  }
}
