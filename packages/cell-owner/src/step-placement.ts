import type { StepExplanation } from './step-explanation.js';

/** Where the tasks of a step would go now, or why they would wait, for operators. */
export interface StepPlacement extends StepExplanation {
  /** A sentence about the step. */
  reason: string;
  /** Numbers of tasks that would start now, by worker. */
  starts?: readonly { worker: string; tasks: number }[];
  /** Workers that the request to the advice service would name. */
  namedWorkers?: readonly string[];
}
