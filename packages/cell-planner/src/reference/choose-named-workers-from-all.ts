import { admitsTask } from '../admits-task.js';
import { fits } from '../fits.js';
import type { PlannedWorker } from '../planned-worker.js';
import type { ReadyStep } from '../ready-step.js';
import type { Capacity } from '../capacity.js';
import type { WorkerIndex } from '../worker-index.js';

/** Maximum number of workers that the advice service accepts in one request. */
const MAX_NAMED_WORKERS = 100;
/**
 * Minimum number of workers that a first request names for each task, as the service denies some of
 * them.
 */
const NAMED_WORKERS_PER_TASK = 4;

/** Reference of `chooseNamedWorkers` for tests: sorts all workers into groups before it takes the first ones. */
export function chooseNamedWorkersFromAll(
  step: ReadyStep,
  demand: Capacity,
  workerIndex: WorkerIndex,
): string[] {
  const { advice, queue } = step;
  if (advice === undefined || queue.advice === undefined) return [];
  const workersForFixedCost = Math.ceil(
    queue.advice.decisionMs / Math.max(0.01, queue.advice.perWorkerMs),
  );
  const maxNamedWorkers = Math.min(
    MAX_NAMED_WORKERS,
    Math.max(step.waitingTasks.length * NAMED_WORKERS_PER_TASK, workersForFixedCost),
  );
  const hasRoom = (worker: PlannedWorker): boolean =>
    fits(worker.free, demand) && admitsTask(worker, step);
  const allowedWorkers = [...workerIndex.listAllowed(step)]
    .sort(
      (left, right) =>
        right.free.millicores - left.free.millicores || (left.id < right.id ? -1 : 1),
    )
    .slice(0, advice.isAnswered ? maxNamedWorkers : 0);
  const unnamedWorkers = workerIndex
    .listByFreeCpu(step)
    .filter(
      (worker) =>
        !advice.allowed.has(worker.id) &&
        !advice.denied.has(worker.id) &&
        fits(worker.total, demand),
    );
  // A gang needs tickets for all the workers for whose room it waits.
  const orderedWorkers = step.step.gang
    ? [...allowedWorkers, ...unnamedWorkers]
    : [
        ...allowedWorkers.filter(hasRoom),
        ...unnamedWorkers.filter(hasRoom),
        ...allowedWorkers.filter((worker) => !hasRoom(worker)),
        ...unnamedWorkers.filter((worker) => !hasRoom(worker)),
      ];
  return orderedWorkers.slice(0, maxNamedWorkers).map((worker) => worker.id);
}
