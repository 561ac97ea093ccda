import type { StepPlacement } from './step-placement.js';

/** Where a job that was not submitted would go now, and why, for operators. */
export interface PlacementExplanation {
  /** A sentence about the first step. */
  reason: string;
  queue: string;
  /** 0 is the most urgent. */
  priority: number;
  team?: string;
  /** Steps of the occurrences that are due, in order, and the first occurrence that is not. */
  steps: readonly StepPlacement[];
  /** Further steps of the occurrences that were planned. */
  leftOutSteps: number;
}
