import type { ReadyStep } from './ready-step.js';

/**
 * A late job keeps some value until this multiple of the time between its due time and its
 * objective has passed.
 */
const LATE_FACTOR = 3;

/** Bands of steps, the most urgent first. Prompt steps are those of priority 0. */
const Band = { prompt: 0, onTime: 1, latePrompt: 2, late: 3, noValue: 4 } as const;

/**
 * Sorts the steps by urgency. Load pattern: demand exceeds the capacity for several seconds.
 * Sorting by due time alone would spend the capacity on jobs that are about to miss their objective
 * and then miss it anyway. Steps that can still meet their objective come first, prompt steps
 * before the others; then late steps that still have some value; then the rest by age. Within a
 * band the more urgent priority comes first, then the earlier latest start.
 */
export function orderUnderOverload(steps: readonly ReadyStep[], nowMs: number): ReadyStep[] {
  const ranked = steps.map((step) => {
    const band = chooseBand(step, nowMs);
    const latestStartAtMs =
      band === Band.noValue ? step.dueMs : step.objectiveAtMs - step.remainingMs;
    return { step, band, latestStartAtMs };
  });
  ranked.sort(
    (left, right) =>
      left.band - right.band ||
      left.step.queue.priority - right.step.queue.priority ||
      left.latestStartAtMs - right.latestStartAtMs ||
      (left.step.key < right.step.key ? -1 : 1),
  );
  return ranked.map((entry) => entry.step);
}

function chooseBand(step: ReadyStep, nowMs: number): number {
  const isPrompt = step.queue.priority === 0;
  const expectedEndAtMs = nowMs + step.remainingMs;
  if (expectedEndAtMs <= step.objectiveAtMs) return isPrompt ? Band.prompt : Band.onTime;
  const valueEndAtMs = step.dueMs + LATE_FACTOR * (step.objectiveAtMs - step.dueMs);
  if (expectedEndAtMs <= valueEndAtMs) return isPrompt ? Band.latePrompt : Band.late;
  return Band.noValue;
}
