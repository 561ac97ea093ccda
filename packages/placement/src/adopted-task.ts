import type { TaskOutcome } from '@acaciahoist/types/task-outcome';

/** State of a task, from the journal or from a worker, that a new owner gives to `adoptTask`. */
export interface AdoptedTask {
  jobId: string;
  taskId: string;
  worker: string;
  /**
   * `unknown`: the start may have been sent; the task keeps its capacity until the caller reports
   * its end. `ended`: an earlier run, recorded so that its id is not used again.
   */
  state: 'armed' | 'unknown' | 'running' | 'ended';
  outcome?: TaskOutcome;
  startedAtMs?: number;
  progressMs?: number;
}
