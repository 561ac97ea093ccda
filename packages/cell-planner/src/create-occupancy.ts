import type { WorkerOccupancy } from './worker-occupancy.js';

/** Creates the occupancy of a worker without serving and best-effort tasks. */
export function createOccupancy(): WorkerOccupancy {
  return {
    servingTasks: 0,
    bestEffortTasks: 0,
    startableBestEffortTasks: Number.POSITIVE_INFINITY,
  };
}
