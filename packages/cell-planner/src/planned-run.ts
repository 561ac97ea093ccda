import type { Capacity } from './capacity.js';

/** A run on a worker as the planner sees it. */
export interface PlannedRun {
  /** Time in ms until the run is expected to end. */
  endsInMs: number;
  /** Capacity that the run uses. */
  usedCapacity: Capacity;
}
