import type { Resources } from '@acaciahoist/types/resources';
import type { TaskOutcome } from '@acaciahoist/types/task-outcome';

/** One task on a worker. Points in time are monotonic ms. */
export interface Task {
  taskId: string;
  jobId: string;
  /** Demand that the start stated. */
  declared: Resources;
  /** Resources that the task actually uses while it is not throttled. */
  actualUsage: Resources;
  /** Actual run time at full speed; null for a task without an end, such as a service. */
  workMs: number | null;
  /** Work done up to `progressAtMs`, in ms at full speed. */
  progressMs: number;
  /** Time of the last update of `progressMs`. */
  progressAtMs: number;
  /** Work done per ms: 1 at full speed, 0 while the worker is frozen. */
  progressRate: number;
  leaseEndMs: number;
  startedMs: number;
  /** Time of the first throttling; undefined when the task is not throttled. */
  throttledMs: number | undefined;
  endedMs: number | undefined;
  outcome: TaskOutcome | undefined;
  /** Cancels the timer that ends the task when its lease lapses. */
  cancelLeaseTimer: () => void;
  /** Cancels the timer that ends the task when its work is done. */
  cancelCompletionTimer: () => void;
}
