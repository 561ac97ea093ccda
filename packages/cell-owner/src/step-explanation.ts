import type { StepWait } from '@acaciahoist/cell-planner/step-wait';
import type { WaitReason } from '@acaciahoist/cell-planner/wait-reason';

/** Why a step of a job waits, for operators. */
export interface StepExplanation extends Partial<Omit<StepWait, 'reason'>> {
  /** `job.occurrence.step`, or `job.occurrence` for an occurrence that is not due. */
  step: string;
  waits: WaitReason;
  /** Numbers of tasks of the step. */
  tasks?: number;
  done?: number;
  placed?: number;
  /** Time in ms since the occurrence was due. */
  waitedMs?: number;
  dueInMs?: number;
  /** Earlier steps that are not done. */
  after?: readonly number[];
  /** Age in ms of the oldest decided start whose record is not applied. */
  oldestStartAgeMs?: number;
  /** Workers of the placed tasks. */
  onWorkers?: readonly string[];
}
