import { countFitting } from './count-fitting.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { Room } from './room.js';

/**
 * Finds workers for all tasks of a gang at once; undefined when they do not all fit. Does not take the
 * room away. A gang that wants one rack gets one rack or nothing.
 */
export function placeGang(
  step: ReadyStep,
  size: Room,
  candidates: readonly PlannedWorker[],
  roomFor: (worker: PlannedWorker) => Room,
): { index: number; worker: string }[] | undefined {
  if (!step.step.sameRack) return fill(step, size, candidates, roomFor);
  const racks = new Set(candidates.map((worker) => worker.rack));
  const ordered = [...racks].sort(
    (left, right) =>
      Number(right === step.step.dataRack) - Number(left === step.step.dataRack) ||
      (left < right ? -1 : 1),
  );
  for (const rack of ordered) {
    const inRack = candidates.filter((worker) => worker.rack === rack);
    const placed = fill(step, size, inRack, roomFor);
    if (placed !== undefined) return placed;
  }
  return undefined;
}

function fill(
  step: ReadyStep,
  size: Room,
  candidates: readonly PlannedWorker[],
  roomFor: (worker: PlannedWorker) => Room,
): { index: number; worker: string }[] | undefined {
  const perWorker = step.step.maxPerWorker > 0 ? step.step.maxPerWorker : step.waiting.length;
  const offers = candidates
    .map((worker) => {
      const room = roomFor(worker);
      const count = countFitting(room, size, perWorker);
      const isOffRack = step.step.dataRack !== '' && worker.rack !== step.step.dataRack;
      return { worker, count, left: room.millicores - count * size.millicores, isOffRack };
    })
    .filter((offer) => offer.count > 0)
    .sort(
      (left, right) =>
        Number(left.isOffRack) - Number(right.isOffRack) ||
        left.left - right.left ||
        (left.worker.id < right.worker.id ? -1 : 1),
    );
  const placed: { index: number; worker: string }[] = [];
  for (const offer of offers) {
    for (let taken = 0; taken < offer.count; taken += 1) {
      const index = step.waiting[placed.length];
      if (index === undefined) return placed;
      placed.push({ index, worker: offer.worker.id });
    }
  }
  return placed.length === step.waiting.length ? placed : undefined;
}
