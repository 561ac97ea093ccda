import type { PlannedRun } from './planned-run.js';
import type { Room } from './room.js';

/** A worker as the planner sees it. The planner takes room away from `free` while it plans. */
export interface PlannedWorker {
  id: string;
  service: string;
  rack: string;
  labels: readonly string[];
  total: Room;
  free: Room;
  /** Lists what runs there, in any order. Asked for only where room is kept for a gang. */
  listRuns: () => readonly PlannedRun[];
  /** False for a worker that takes no starts now: draining, unreachable or out. */
  startable: boolean;
  /** True for a worker that is being tried again: it takes one task that is neither urgent nor in a gang. */
  probation: boolean;
}
