import { admitsTask } from './admits-task.js';
import { fits } from './fits.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { Capacity } from './capacity.js';
import type { WorkerIndex } from './worker-index.js';

/** Maximum number of workers that the advice service accepts in one request. */
const MAX_NAMED_WORKERS = 100;
/**
 * Minimum number of workers that a first request names for each task, as the service denies some of
 * them.
 */
const NAMED_WORKERS_PER_TASK = 4;

/**
 * Chooses the workers that an advice request for the step names. Load pattern: advice is the
 * bottleneck. A first request names so many workers that their part of its duration equals the
 * fixed part, those with the most free processor capacity first. A later request names the allowed
 * workers first, to renew their tickets, and then workers that no request has named yet. Allowed workers
 * without room for a task come after unnamed ones with room, which would otherwise never be named once the
 * allowed ones fill the request.
 */
export function chooseNamedWorkers(
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
  const allowedWorkers = advice.isAnswered
    ? [...workerIndex.listAllowed(step)]
        .sort(
          (left, right) =>
            right.free.millicores - left.free.millicores || (left.id < right.id ? -1 : 1),
        )
        .slice(0, maxNamedWorkers)
    : [];
  // A gang needs tickets for all the workers for whose room it waits.
  const namesRoomFirst = !step.step.gang;
  const named = namesRoomFirst ? allowedWorkers.filter(hasRoom) : allowedWorkers;
  const allowedWithoutRoom = allowedWorkers.length - named.length;
  const unnamedWithoutRoom: PlannedWorker[] = [];
  let unseenWithRoom = namesRoomFirst ? workerIndex.listWithRoom(step, demand).length : 0;
  for (const worker of workerIndex.listByFreeCpu(step)) {
    if (named.length >= maxNamedWorkers) break;
    // Without room, the workers that are listed so far come before the others.
    if (
      unseenWithRoom === 0 &&
      named.length + allowedWithoutRoom + unnamedWithoutRoom.length >= maxNamedWorkers
    )
      break;
    if (namesRoomFirst && fits(worker.free, demand)) unseenWithRoom -= 1;
    if (advice.allowed.has(worker.id) || advice.denied.has(worker.id)) continue;
    if (!fits(worker.total, demand)) continue;
    if (!namesRoomFirst || hasRoom(worker)) named.push(worker);
    else unnamedWithoutRoom.push(worker);
  }
  if (namesRoomFirst)
    named.push(...allowedWorkers.filter((worker) => !hasRoom(worker)), ...unnamedWithoutRoom);
  return named.slice(0, maxNamedWorkers).map((worker) => worker.id);
}
