import type { PlannedWorker } from './planned-worker.js';
import { TaskKind } from './task-kind.js';

/** Adds a planned start to the serving and best-effort tasks and to the images of its worker. */
export function occupyWorker(
  { occupancy, images }: Pick<PlannedWorker, 'occupancy' | 'images'>,
  kind: TaskKind,
  image: string,
): void {
  images?.add(image);
  if (kind === TaskKind.serving) {
    occupancy.servingTasks += 1;
    // Its tail beside further best-effort tasks is not known before it runs.
    occupancy.startableBestEffortTasks = 0;
  }
  if (kind === TaskKind.bestEffort) {
    occupancy.bestEffortTasks += 1;
    occupancy.startableBestEffortTasks -= 1;
  }
}
