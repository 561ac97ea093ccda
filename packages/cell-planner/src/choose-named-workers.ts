import { fits } from './fits.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { Room } from './room.js';

/** Most workers that the advice service takes in one call. */
const MAX_NAMED = 100;
/** A first call names at least this many workers for each task, since a part is not allowed. */
const NAMED_PER_TASK = 4;

/**
 * Load pattern: advice as the bottleneck. A first call names as many workers as double the fixed cost of
 * a call, those with the most room first; a later one only renews the tickets of allowed workers.
 */
export function chooseNamedWorkers(
  step: ReadyStep,
  size: Room,
  candidates: readonly PlannedWorker[],
): string[] {
  const { advice, queue } = step;
  if (advice === undefined || queue.advice === undefined) return [];
  const byRoom = (left: PlannedWorker, right: PlannedWorker): number =>
    right.free.millicores - left.free.millicores || (left.id < right.id ? -1 : 1);
  const allowed = candidates.filter((worker) => advice.allowed.has(worker.id));
  const open = candidates.filter(
    (worker) => !advice.allowed.has(worker.id) && !advice.denied.has(worker.id),
  );
  const affordable = Math.ceil(queue.advice.decisionMs / Math.max(0.01, queue.advice.perWorkerMs));
  const wanted = Math.min(MAX_NAMED, Math.max(step.waiting.length * NAMED_PER_TASK, affordable));
  const roomy = (worker: PlannedWorker): boolean => fits(worker.total, size);
  if (!advice.isKnown) return open.filter(roomy).sort(byRoom).slice(0, wanted).map(idOf);
  const renewed = allowed.sort(byRoom).slice(0, wanted);
  const added = open
    .filter(roomy)
    .sort(byRoom)
    .slice(0, wanted - renewed.length);
  return [...renewed, ...added].map(idOf);
}

function idOf(worker: PlannedWorker): string {
  return worker.id;
}
