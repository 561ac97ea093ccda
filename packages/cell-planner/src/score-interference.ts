import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import { TaskKind } from './task-kind.js';

/** Added for a best-effort task on a worker that serves: above all other parts of the score. */
const SERVING_PENALTY = 100;
/** Added on a worker with a task of an image from which the image of the step is kept apart. */
const IMAGE_PENALTY = 3;
/** Added for a serving task for each best-effort task on the worker. */
const BEST_EFFORT_PENALTY = 1;
/** Number of best-effort tasks from which the penalty of a serving task no longer grows. */
const MAX_COUNTED_TASKS = 3;
/** Weight of the demand of all best-effort tasks for each processor that is free. */
const CROWDING_WEIGHT = 20;
/** Demand for each free processor from which the crowding of a worker no longer grows. */
const MAX_CROWDING = 4;

/**
 * Returns the part of a worker's score for tasks of this kind that accounts for interference; lower is better.
 * Best-effort tasks go to workers that serve nothing, and among these to those with the most free processors for
 * each best-effort task. Serving tasks go to workers with few of these. Tasks of images that slow each other down are
 * kept apart, as far as other workers have room.
 */
export function scoreInterference(
  kind: TaskKind,
  { step }: ReadyStep,
  worker: PlannedWorker,
): number {
  const imagePenalty = worker.images?.conflictsWith(step.image) === true ? IMAGE_PENALTY : 0;
  if (kind === TaskKind.other) return imagePenalty;
  const { servingTasks, bestEffortTasks } = worker.occupancy;
  if (kind === TaskKind.serving)
    return imagePenalty + BEST_EFFORT_PENALTY * Math.min(MAX_COUNTED_TASKS, bestEffortTasks);
  const demandMillicores = (bestEffortTasks + 1) * step.millicores;
  const crowding = demandMillicores / Math.max(1, worker.free.millicores);
  return (
    imagePenalty +
    (servingTasks > 0 ? SERVING_PENALTY : 0) +
    CROWDING_WEIGHT * Math.min(MAX_CROWDING, crowding)
  );
}
