import type { PlannedRun } from './planned-run.js';
import type { Capacity } from './capacity.js';
import type { WorkerImages } from './worker-images.js';
import type { WorkerOccupancy } from './worker-occupancy.js';

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
  /** Capacity that is free once all runs that end by themselves have ended; long-running ones stay. */
  eventuallyFree: Capacity;
  /**
   * Lists the runs on the worker in any order. Called only when capacity is reserved for a gang.
   */
  listRuns: () => readonly PlannedRun[];
  /** False for a worker that gets no starts at present: draining, unreachable or ejected. */
  acceptsStarts: boolean;
  /**
   * True for a worker that is tried again after its ejection: it gets one task, which belongs
   * neither to a prompt step nor to a gang.
   */
  isOnProbation: boolean;
  /**
   * True for an ejected worker or one on probation that could get one task: the last resort of a step for which the
   * other workers never have room.
   */
  isLastResort: boolean;
  /** Serving and best-effort tasks; planned starts are added while the planner plans. */
  occupancy: WorkerOccupancy;
  /** Images of its tasks; undefined while no images are kept apart. */
  images: WorkerImages | undefined;
  /** Speed that was learned, 1 for the usual one; undefined when it is unknown. */
  speed: number | undefined;
}
