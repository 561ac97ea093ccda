import type { StepExplanation } from './step-explanation.js';

/** Why a job that has not ended waits, for operators. */
export interface JobExplanation {
  /** A sentence about the first step that waits. */
  reason: string;
  job: string;
  queue: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Steps that are not done, in order. */
  steps: readonly StepExplanation[];
  /** Further steps that are not done. */
  leftOutSteps: number;
}
