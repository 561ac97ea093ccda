import { fits } from './fits.js';
import type { ReadyStep } from './ready-step.js';
import type { Room } from './room.js';
import type { WorkerIndex } from './worker-index.js';

/** Most workers that the advice service takes in one call. */
const MAX_NAMED_WORKERS = 100;
/** A first call names at least this many workers for each task, since a part is not allowed. */
const NAMED_WORKERS_PER_TASK = 4;

/**
 * Load pattern: advice as the bottleneck. A first call names as many workers as double the fixed cost of
 * a call, those with the most room first; a later one only renews the tickets of allowed workers.
 */
export function chooseNamedWorkers(step: ReadyStep, demand: Room, index: WorkerIndex): string[] {
  const { advice, queue } = step;
  if (advice === undefined || queue.advice === undefined) return [];
  const workersForFixedCost = Math.ceil(
    queue.advice.decisionMs / Math.max(0.01, queue.advice.perWorkerMs),
  );
  const maxNamed = Math.min(
    MAX_NAMED_WORKERS,
    Math.max(step.waiting.length * NAMED_WORKERS_PER_TASK, workersForFixedCost),
  );
  const allowed = [...index.listAllowed(step)]
    .sort(
      (left, right) =>
        right.free.millicores - left.free.millicores || (left.id < right.id ? -1 : 1),
    )
    .slice(0, advice.isKnown ? maxNamed : 0);
  const named = allowed.map((worker) => worker.id);
  for (const worker of index.listByFreeCpu(step)) {
    if (named.length >= maxNamed) break;
    if (advice.allowed.has(worker.id) || advice.denied.has(worker.id)) continue;
    if (fits(worker.total, demand)) named.push(worker.id);
  }
  return named;
}
