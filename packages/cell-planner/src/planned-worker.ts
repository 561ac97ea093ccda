import type { PlannedRun } from './planned-run.js';
import type { Capacity } from './capacity.js';

/**
 * A worker as the planner sees it. While it plans, the planner subtracts planned starts from
 * `free`.
 */
export interface PlannedWorker {
  id: string;
  service: string;
  rack: string;
  labels: readonly string[];
  total: Capacity;
  free: Capacity;
  /**
   * Lists the runs on the worker in any order. Called only when capacity is reserved for a gang.
   */
  listRuns: () => readonly PlannedRun[];
  /** False for a worker that gets no starts at present: draining, unreachable or excluded. */
  startable: boolean;
  /**
   * True for an excluded worker that is tried again: it gets one task, neither of a prompt step nor
   * of a gang.
   */
  probation: boolean;
}
