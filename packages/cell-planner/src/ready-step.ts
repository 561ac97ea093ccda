import type { CellStep } from '@acaciahoist/cell-types/cell-step';
import type { QueueTerms } from '@acaciahoist/cell-types/queue-terms';
import type { FailedRuns } from './failed-runs.js';
import type { StepAdvice } from './step-advice.js';

/**
 * A step with waiting tasks that may start: its occurrence is due and the steps before it are done.
 * Times are monotonic ms.
 */
export interface ReadyStep {
  /** `job.occurrence.step` */
  key: string;
  queue: QueueTerms;
  step: CellStep;
  /** Team to which the job is charged; undefined for none. */
  team: string | undefined;
  /** Whether the job arrived beyond the rate at which its team may submit while room is short. */
  isExcess: boolean;
  /** Indices of the waiting tasks. */
  waitingTasks: readonly number[];
  /** Number of tasks of the step on each worker, which `maxPerWorker` limits. */
  tasksByWorker: ReadonlyMap<string, number>;
  /** Failed runs of the waiting tasks, by index of the task; other workers are tried first. */
  failedRuns: ReadonlyMap<number, FailedRuns>;
  /** Time from which the job may run: its acceptance or the scheduled time of the occurrence. */
  dueMs: number;
  /** Deadline by which the job must end to have its full value. */
  objectiveAtMs: number;
  /** Expected time in ms from the start of this step to the end of the job. */
  remainingMs: number;
  /** True when other steps of the job wait for this one. */
  hasSuccessors: boolean;
  /** Advice for the step; undefined when the queue needs none. */
  advice: StepAdvice | undefined;
}
