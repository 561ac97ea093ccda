import type { Capacity } from './capacity.js';
import { countFittingTasks } from './count-fitting-tasks.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';

/**
 * Returns whether `tasks` waiting tasks of the step fit on the workers together, each with the capacity that
 * `capacityFor` returns; on those of one rack if a gang must not be spread over racks.
 */
export function canHoldTasks(
  step: ReadyStep,
  demand: Capacity,
  tasks: number,
  workers: Iterable<PlannedWorker>,
  capacityFor: (worker: PlannedWorker) => Capacity,
): boolean {
  const { maxPerWorker, gang, sameRack } = step.step;
  const limit = maxPerWorker > 0 ? maxPerWorker : tasks;
  const tasksByRack = new Map<string, number>();
  for (const worker of workers) {
    const rack = gang && sameRack ? worker.rack : '';
    const fitting = countFittingTasks(capacityFor(worker), demand, limit);
    const tasksOnRack = (tasksByRack.get(rack) ?? 0) + fitting;
    if (tasksOnRack >= tasks) return true;
    tasksByRack.set(rack, tasksOnRack);
  }
  return false;
}
