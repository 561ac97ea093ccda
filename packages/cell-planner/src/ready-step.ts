import type { CellStep } from '@acaciahoist/cell-types/cell-step';
import type { QueueTerms } from '@acaciahoist/cell-types/queue-terms';

/** A step whose turn has come and that has waiting tasks. Times are monotonic ms. */
export interface ReadyStep {
  /** `job.occurrence.step` */
  key: string;
  queue: QueueTerms;
  step: CellStep;
  /** Indices of the tasks that wait. */
  waiting: readonly number[];
  /** Tasks of the step by worker; counts against `maxPerWorker`. */
  placedOn: ReadonlyMap<string, number>;
  /** Worker on which a waiting task failed last, by its index: another one is tried first. */
  failedOn: ReadonlyMap<number, string>;
  /** When the job became due to run: its acceptance or its set time. */
  sinceMs: number;
  /** Time up to which the job earns its full worth. */
  objectiveMs: number;
  /** Expected time that the job still needs from the start of this step on. */
  remainingMs: number;
  /** Advice for the step; undefined where the queue needs none. */
  advice: StepAdvice | undefined;
}

import type { StepAdvice } from './step-advice.js';
