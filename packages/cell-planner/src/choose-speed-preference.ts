import type { ReadyStep } from './ready-step.js';

/** Ratio of the time until the objective to the expected time below which a slow worker would miss the objective. */
const TIGHT_SLACK = 2;
/** Ratio from which a slow worker makes the objective without effort. */
const LOOSE_SLACK = 3;

/**
 * Returns 1 for steps that prefer fast workers, -1 for those that prefer slow ones, and 0 for the others. Load
 * pattern: prompt work on workers of which a part has half of the usual speed. Work that other work waits for, and
 * work with little time until its objective, takes the faster workers; work with time to spare leaves them to it.
 */
export function chooseSpeedPreference(step: ReadyStep, nowMs: number): number {
  if (step.step.gang || step.hasSuccessors) return 1;
  const slack = (step.objectiveAtMs - nowMs) / Math.max(1, step.remainingMs);
  if (slack >= LOOSE_SLACK) return -1;
  // Work that misses its objective anyway takes no fast worker from work that can meet it.
  return slack >= 1 && slack < TIGHT_SLACK ? 1 : 0;
}
