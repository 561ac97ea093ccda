import type { Capacity } from './capacity.js';
import type { WaitReason } from './wait-reason.js';

/** Why a ready step waits, and the numbers behind it. */
export interface StepWait {
  reason: WaitReason;
  /** Demand of one task. */
  demand: Capacity;
  waitingTasks: number;
  /** Present for a job beyond the rate of its team, which starts after other work that has value. */
  isExcess?: true;
  /** More urgent steps that are planned before this one. */
  stepsAhead: number;
  /** Workers of the service. */
  workers: number;
  /** Those of them that may get starts and may run the step. */
  startableWorkers: number;
  /** Those of them that would have room for a task if they were idle. */
  largeEnoughWorkers: number;
  /** Those of `startableWorkers` that the advice service allows, or all if it is not asked. */
  allowedWorkers: number;
  /** Those of `allowedWorkers` that have room for a task now. */
  workersWithRoom: number;
  /** Expected time in ms until a gang fits for which capacity is reserved. */
  fitsInMs: number | undefined;
}
