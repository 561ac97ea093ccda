import { fits } from './fits.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { RoomLedger } from './room-ledger.js';
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
  size: Room,
  candidates: readonly PlannedWorker[],
  ledger: RoomLedger,
  most: number,
): { index: number; worker: string }[] {
  const placed: { index: number; worker: string }[] = [];
  const limit = step.step.maxPerWorker > 0 ? step.step.maxPerWorker : Number.POSITIVE_INFINITY;
  const counts = new Map(step.placedOn);
  const isOpen = (worker: PlannedWorker): boolean =>
    (counts.get(worker.id) ?? 0) < limit && fits(ledger.roomFor(worker), size);
  let best: PlannedWorker | undefined;
  for (const index of step.waiting) {
    const failedOn = candidates.length > 1 ? step.failedOn.get(index) : undefined;
    // The worker that was best stays best until it is full: the task left even less room there.
    if (placed.length >= most) break;
    if (best === undefined || best.id === failedOn || !isOpen(best))
      best = findBest(step, size, candidates, (worker) => worker.id !== failedOn && isOpen(worker));
    if (best === undefined) break;
    ledger.take(best, size);
    counts.set(best.id, (counts.get(best.id) ?? 0) + 1);
    placed.push({ index, worker: best.id });
    // The next task may go to the worker on which this one failed.
    if (failedOn !== undefined) best = undefined;
  }
  return placed;
}

function findBest(
  step: ReadyStep,
  size: Room,
  candidates: readonly PlannedWorker[],
  isOpen: (worker: PlannedWorker) => boolean,
): PlannedWorker | undefined {
  let best: PlannedWorker | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const worker of candidates) {
    if (!isOpen(worker)) continue;
    const score = scoreOf(step, worker, size);
    if (score >= bestScore) continue;
    best = worker;
    bestScore = score;
  }
  return best;
}

/** Share of processors and memory that is left on the worker; less is better. */
function scoreOf(step: ReadyStep, worker: PlannedWorker, size: Room): number {
  const { free, total } = worker;
  const cpuShare = (free.millicores - size.millicores) / Math.max(1, total.millicores);
  const memoryShare = (free.memoryMib - size.memoryMib) / Math.max(1, total.memoryMib);
  const isOffRack = step.step.dataRack !== '' && worker.rack !== step.step.dataRack;
  return cpuShare + memoryShare + (isOffRack ? OFF_RACK_PENALTY : 0);
}
