import type { Resources } from './resources.js';
import type { TaskOutcome } from './task-outcome.js';

/** Usage and task states as a worker reports them. A report may be late, duplicated or out of order. */
export interface WorkerReport {
  /** Increases by one with each report of a worker incarnation. */
  sequence: number;
  incarnation: string;
  tasks: readonly {
    taskId: string;
    state: 'running' | 'ended';
    usage: Resources;
    throttled: boolean;
    outcome?: TaskOutcome;
    /** Completed work in ms of run time; checkpoints preserve it. */
    progressMs: number;
  }[];
}
