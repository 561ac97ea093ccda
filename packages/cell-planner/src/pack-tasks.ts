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
 * returns the worker of each task that found one.
 */
export function packTasks(
  step: ReadyStep,
  size: Room,
  candidates: readonly PlannedWorker[],
  ledger: RoomLedger,
): { index: number; worker: string }[] {
  const placed: { index: number; worker: string }[] = [];
  const limit = step.step.maxPerWorker;
  const counts = new Map(step.placedOn);
  for (const index of step.waiting) {
    let best: PlannedWorker | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const worker of candidates) {
      if (step.failedOn.get(index) === worker.id && candidates.length > 1) continue;
      if (limit > 0 && (counts.get(worker.id) ?? 0) >= limit) continue;
      if (!fits(ledger.roomFor(worker), size)) continue;
      const score = scoreOf(step, worker, size);
      if (score >= bestScore) continue;
      best = worker;
      bestScore = score;
    }
    if (best === undefined) break;
    ledger.take(best, size);
    counts.set(best.id, (counts.get(best.id) ?? 0) + 1);
    placed.push({ index, worker: best.id });
  }
  return placed;
}

/** Share of processors and memory that is left on the worker; less is better. */
function scoreOf(step: ReadyStep, worker: PlannedWorker, size: Room): number {
  const { free, total } = worker;
  const cpuShare = (free.millicores - size.millicores) / Math.max(1, total.millicores);
  const memoryShare = (free.memoryMib - size.memoryMib) / Math.max(1, total.memoryMib);
  const isOffRack = step.step.dataRack !== '' && worker.rack !== step.step.dataRack;
  return cpuShare + memoryShare + (isOffRack ? OFF_RACK_PENALTY : 0);
}
