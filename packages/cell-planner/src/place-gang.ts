import { countFittingTasks } from './count-fitting-tasks.js';
import { findTaskKind } from './find-task-kind.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { Capacity } from './capacity.js';
import { scoreInterference } from './score-interference.js';
import { TaskKind } from './task-kind.js';

/** Assignments of a gang, and the speed of its slowest member. */
interface PlacedGang {
  assignments: { index: number; worker: string }[];
  speed: number;
}

/** A worker that has room for members of a gang. */
interface FittingWorker {
  worker: PlannedWorker;
  speed: number;
  count: number;
  unusedMillicores: number;
  isOffRack: boolean;
  interference: number;
}

/**
 * Ratio of two speeds from which they count as different. Speeds are medians of few run times, so that a smaller
 * difference may be chance.
 */
const SPEED_TOLERANCE = 1.2;

/**
 * Assigns all tasks of a gang to workers, without subtracting their demand; returns undefined when
 * they do not all fit. A gang that requires the same rack is placed within one rack or not at all.
 * A gang runs at the speed of its slowest member, so that it gets the fastest workers that hold all of it.
 */
export function placeGang(
  step: ReadyStep,
  demand: Capacity,
  candidates: readonly PlannedWorker[],
  capacityFor: (worker: PlannedWorker) => Capacity,
): { index: number; worker: string }[] | undefined {
  if (!step.step.sameRack) return assignTasks(step, demand, candidates, capacityFor)?.assignments;
  const hasSpeeds = candidates.some(({ speed }) => speed !== undefined);
  const racks = new Set(candidates.map((worker) => worker.rack));
  const sortedRacks = [...racks].sort(
    (left, right) =>
      Number(right === step.step.dataRack) - Number(left === step.step.dataRack) ||
      (left < right ? -1 : 1),
  );
  let best: PlacedGang | undefined;
  for (const rack of sortedRacks) {
    const rackCandidates = candidates.filter((worker) => worker.rack === rack);
    const placed = assignTasks(step, demand, rackCandidates, capacityFor);
    if (placed === undefined) continue;
    if (!hasSpeeds || rack === step.step.dataRack) return placed.assignments;
    if (best === undefined || placed.speed > best.speed * SPEED_TOLERANCE) best = placed;
  }
  return best?.assignments;
}

/**
 * Assigns all tasks of a gang to the candidates. Prefers those on the rack of the data, then those with
 * the least interference, then those that the gang leaves with the least free processor capacity.
 */
function assignTasks(
  step: ReadyStep,
  demand: Capacity,
  candidates: readonly PlannedWorker[],
  capacityFor: (worker: PlannedWorker) => Capacity,
): PlacedGang | undefined {
  const needed = step.waitingTasks.length;
  const fittingWorkers = listFittingWorkers(step, demand, candidates, capacityFor);
  if (fittingWorkers.reduce((sum, { count }) => sum + count, 0) < needed) return undefined;
  const minSpeed = findMinSpeed(fittingWorkers, needed);
  const fastWorkers = fittingWorkers
    .filter(({ speed }) => speed >= minSpeed)
    .sort(
      (left, right) =>
        Number(left.isOffRack) - Number(right.isOffRack) ||
        left.interference - right.interference ||
        left.unusedMillicores - right.unusedMillicores ||
        (left.worker.id < right.worker.id ? -1 : 1),
    );
  const placed: PlacedGang = { assignments: [], speed: Number.POSITIVE_INFINITY };
  for (const { worker, count, speed } of fastWorkers) {
    for (let assigned = 0; assigned < count; assigned += 1) {
      const index = step.waitingTasks[placed.assignments.length];
      if (index === undefined) return placed;
      placed.assignments.push({ index, worker: worker.id });
      placed.speed = Math.min(placed.speed, speed);
    }
  }
  return placed;
}

function listFittingWorkers(
  step: ReadyStep,
  demand: Capacity,
  candidates: readonly PlannedWorker[],
  capacityFor: (worker: PlannedWorker) => Capacity,
): FittingWorker[] {
  const { dataRack, maxPerWorker } = step.step;
  const limit = maxPerWorker > 0 ? maxPerWorker : step.waitingTasks.length;
  const kind = findTaskKind(step.step);
  const fittingWorkers: FittingWorker[] = [];
  for (const worker of candidates) {
    const capacity = capacityFor(worker);
    const maxCount =
      kind === TaskKind.bestEffort
        ? Math.min(limit, worker.occupancy.startableBestEffortTasks)
        : limit;
    const count = countFittingTasks(capacity, demand, maxCount);
    if (count <= 0) continue;
    fittingWorkers.push({
      worker,
      speed: worker.speed ?? 1,
      count,
      unusedMillicores: capacity.millicores - count * demand.millicores,
      isOffRack: dataRack !== '' && worker.rack !== dataRack,
      interference: scoreInterference(kind, step, worker),
    });
  }
  return fittingWorkers;
}

/**
 * Returns the lowest speed that a member may have: that of the fastest workers that hold the whole gang, less the
 * tolerance, which leaves a choice among workers of similar speed.
 */
function findMinSpeed(fittingWorkers: readonly FittingWorker[], needed: number): number {
  if (fittingWorkers.every(({ worker }) => worker.speed === undefined)) return 0;
  const byFastest = [...fittingWorkers].sort((left, right) => right.speed - left.speed);
  let places = 0;
  for (const { speed, count } of byFastest) {
    places += count;
    if (places >= needed) return speed / SPEED_TOLERANCE;
  }
  return 0;
}
