import { fits } from './fits.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { CapacityLedger } from './capacity-ledger.js';
import type { Room } from './room.js';

/** Makes any worker off the rack of the data worse than every worker on it; scores are at most 2. */
const OFF_RACK_PENALTY = 10;

/**
 * Load pattern: many tasks of unlike size on workers that are nearly full. Each task goes to the worker
 * on which it leaves the least room, so that large holes stay for large tasks. Takes the room away and
 * returns the worker of each task that found one, `most` of them at the most.
 */
export function packTasks(
  step: ReadyStep,
  demand: Room,
  candidates: readonly PlannedWorker[],
  ledger: CapacityLedger,
  maxTasks: number,
): { index: number; worker: string }[] {
  const assignments: { index: number; worker: string }[] = [];
  const maxPerWorker =
    step.step.maxPerWorker > 0 ? step.step.maxPerWorker : Number.POSITIVE_INFINITY;
  const counts = new Map(step.placedOn);
  const canTake = (worker: PlannedWorker): boolean =>
    (counts.get(worker.id) ?? 0) < maxPerWorker && fits(ledger.capacityFor(worker), demand);
  let best: PlannedWorker | undefined;
  for (const index of step.waiting) {
    const failedOn = candidates.length > 1 ? step.failedOn.get(index) : undefined;
    // The worker that was best stays best until it is full: the task left even less room there.
    if (assignments.length >= maxTasks) break;
    if (best === undefined || best.id === failedOn || !canTake(best))
      best = findBestWorker(
        step,
        demand,
        candidates,
        (worker) => worker.id !== failedOn && canTake(worker),
      );
    if (best === undefined) break;
    ledger.take(best, demand);
    counts.set(best.id, (counts.get(best.id) ?? 0) + 1);
    assignments.push({ index, worker: best.id });
    // The next task may go to the worker on which this one failed.
    if (failedOn !== undefined) best = undefined;
  }
  return assignments;
}

function findBestWorker(
  step: ReadyStep,
  demand: Room,
  candidates: readonly PlannedWorker[],
  canTake: (worker: PlannedWorker) => boolean,
): PlannedWorker | undefined {
  let best: PlannedWorker | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const worker of candidates) {
    if (!canTake(worker)) continue;
    const score = computeScore(step, worker, demand);
    if (score >= bestScore) continue;
    best = worker;
    bestScore = score;
  }
  return best;
}

/** Share of processors and memory that is left on the worker; less is better. */
function computeScore(step: ReadyStep, worker: PlannedWorker, demand: Room): number {
  const { free, total } = worker;
  const cpuShare = (free.millicores - demand.millicores) / Math.max(1, total.millicores);
  const memoryShare = (free.memoryMib - demand.memoryMib) / Math.max(1, total.memoryMib);
  const isOffRack = step.step.dataRack !== '' && worker.rack !== step.step.dataRack;
  return cpuShare + memoryShare + (isOffRack ? OFF_RACK_PENALTY : 0);
}
