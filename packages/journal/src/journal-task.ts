import type { TaskOutcome } from '@acaciahoist/types/task-outcome';

/** State of one task in the journal. Times are wall-clock ms. */
export interface JournalTask {
  taskId: string;
  /** Index into the groups of the job's spec. */
  group: number;
  worker: string;
  /**
   * Incarnation of the worker that the task was assigned to; another incarnation does not have the
   * task.
   */
  workerIncarnation: string;
  state: 'assigned' | 'armed' | 'running' | 'ended';
  outcome: TaskOutcome | null;
  /** Time at which the task was assigned or armed. */
  assignedAtMs: number;
  startedAtMs: number | null;
  endedAtMs: number | null;
}
