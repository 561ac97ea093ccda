import type { Capacity } from './capacity.js';
import { countFittingTasks } from './count-fitting-tasks.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';

/**
 * Chooses the workers on which capacity is reserved for a gang: those with the least room for its tasks now, which
 * become free last, so that idle workers stay usable where there is a choice. `capacityFor` returns the capacity
 * when the gang fits.
 */
export function chooseReservedWorkers(
  { step, waitingTasks }: ReadyStep,
  demand: Capacity,
  candidates: readonly PlannedWorker[],
  capacityFor: (worker: PlannedWorker) => Capacity,
): readonly PlannedWorker[] {
  const maxPerWorker = step.maxPerWorker > 0 ? step.maxPerWorker : waitingTasks.length;
  const ranked = candidates
    .map((worker) => ({
      worker,
      isOffRack: step.dataRack !== '' && worker.rack !== step.dataRack,
      placesNow: countFittingTasks(worker.free, demand, maxPerWorker),
      places: countFittingTasks(capacityFor(worker), demand, maxPerWorker),
    }))
    .filter(({ places }) => places > 0)
    .sort(
      (left, right) =>
        Number(left.isOffRack) - Number(right.isOffRack) ||
        left.placesNow - right.placesNow ||
        (left.worker.id < right.worker.id ? -1 : 1),
    );
  const chosenByRack = new Map<string, { workers: PlannedWorker[]; places: number }>();
  for (const { worker, places } of ranked) {
    const rack = step.sameRack ? worker.rack : '';
    const chosen = chosenByRack.get(rack) ?? { workers: [], places: 0 };
    chosenByRack.set(rack, chosen);
    chosen.workers.push(worker);
    chosen.places += places;
    // The first rack with enough places is the one whose workers come first in the ranking.
    if (chosen.places >= waitingTasks.length) return chosen.workers;
  }
  return candidates;
}
