import type { ReadyStep } from './ready-step.js';

/** Late work counts up to this multiple of the time from acceptance to the objective. */
const LATE_FACTOR = 3;

/** Order of the bands: prompt work is priority 0. */
const Band = { prompt: 0, onTime: 1, latePrompt: 2, late: 3, noValue: 4 } as const;

/**
 * Load pattern: more work than room for seconds on end. Ordering by due time alone would spend the room
 * on jobs that are about to miss their objective and then miss it anyway. Steps that can still make
 * their objective come first, prompt ones before the others; then those that are late but still worth
 * something; then the rest by age. Within a band the more urgent priority and the earlier latest start
 * come first.
 */
export function orderUnderOverload(steps: readonly ReadyStep[], nowMs: number): ReadyStep[] {
  const ranked = steps.map((step) => {
    const band = chooseBand(step, nowMs);
    const latestStartMs =
      band === Band.noValue ? step.sinceMs : step.objectiveMs - step.remainingMs;
    return { step, band, latestStartMs };
  });
  ranked.sort(
    (left, right) =>
      left.band - right.band ||
      left.step.queue.priority - right.step.queue.priority ||
      left.latestStartMs - right.latestStartMs ||
      (left.step.key < right.step.key ? -1 : 1),
  );
  return ranked.map((entry) => entry.step);
}

function chooseBand(step: ReadyStep, nowMs: number): number {
  const isPrompt = step.queue.priority === 0;
  const expectedEndMs = nowMs + step.remainingMs;
  if (expectedEndMs <= step.objectiveMs) return isPrompt ? Band.prompt : Band.onTime;
  const valueEndMs = step.sinceMs + LATE_FACTOR * (step.objectiveMs - step.sinceMs);
  if (expectedEndMs <= valueEndMs) return isPrompt ? Band.latePrompt : Band.late;
  return Band.noValue;
}
