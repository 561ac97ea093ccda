import type { Resources } from '@acaciahoist/types/resources';
import type { TaskOutcome } from '@acaciahoist/types/task-outcome';

/** One task at a worker. Times are monotonic ms. */
export interface Task {
  taskId: string;
  jobId: string;
  declared: Resources;
  /** True use while not throttled. */
  actualUsage: Resources;
  /** True work to do, ms at full speed; null for services. */
  workMs: number | null;
  /** Work done by `settledMs`. */
  progressMs: number;
  progressAtMs: number;
  /** Work done per ms; 0 while the worker is frozen. */
  progressRate: number;
  leaseEndMs: number;
  startedMs: number;
  throttledMs: number | undefined;
  endedMs: number | undefined;
  outcome: TaskOutcome | undefined;
  cancelLeaseTimer: () => void;
  cancelCompletionTimer: () => void;
}
