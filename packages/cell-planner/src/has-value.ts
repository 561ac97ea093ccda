import { lateFactor } from './late-factor.js';
import type { ReadyStep } from './ready-step.js';

/** Returns whether the job of the step has some value left if the step starts now. */
export function hasValue(step: ReadyStep, nowMs: number): boolean {
  const valueEndAtMs = step.dueMs + lateFactor * (step.objectiveAtMs - step.dueMs);
  return nowMs + step.remainingMs <= Math.max(step.objectiveAtMs, valueEndAtMs);
}
