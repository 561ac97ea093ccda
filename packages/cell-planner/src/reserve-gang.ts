import { adjustCapacity } from './adjust-capacity.js';
import { chooseReservedWorkers } from './choose-reserved-workers.js';
import { countFittingTasks } from './count-fitting-tasks.js';
import { ExpectedCapacity } from './expected-capacity.js';
import { placeGang } from './place-gang.js';
import type { PlannedWorker } from './planned-worker.js';
import type { PlannedRun } from './planned-run.js';
import type { ReadyStep } from './ready-step.js';
import type { Reservation } from './reservation.js';
import type { Capacity } from './capacity.js';

/**
 * A gang that fits only later than this gets no reservation: estimates of later run ends are
 * unreliable.
 */
const MAX_WAIT_MS = 15_000;

/**
 * Finds the earliest time at which the gang fits, by the expected run ends, and the capacity that
 * it then leaves on each worker. Load pattern: gangs behind a stream of small tasks, which would
 * take all capacity as it becomes free, so that the gang would never start. `listRuns` returns the runs on a worker.
 */
export function reserveGang(
  step: ReadyStep,
  demand: Capacity,
  workers: readonly PlannedWorker[],
  listRuns: (worker: PlannedWorker) => readonly PlannedRun[] = (worker) => worker.listRuns(),
): Reservation | undefined {
  const expected = ExpectedCapacity.create(workers, listRuns, MAX_WAIT_MS);
  const fitsInMs = findEarliestFit(step, demand, workers, expected);
  if (fitsInMs === undefined) return undefined;
  const expectedCapacity = new Map(
    workers.map((worker, position) => [worker, expected.capacities[position] ?? worker.free]),
  );
  const capacityFor = (worker: PlannedWorker): Capacity =>
    expectedCapacity.get(worker) ?? worker.free;
  const assignments = placeGang(
    step,
    demand,
    chooseReservedWorkers(step, demand, workers, capacityFor),
    capacityFor,
  );
  if (assignments === undefined) return undefined;
  const byId = new Map(workers.map((worker) => [worker.id, worker]));
  const spareCapacity = new Map<string, Capacity>();
  for (const { worker } of assignments) {
    const candidate = byId.get(worker);
    const capacity = spareCapacity.get(worker) ?? {
      ...(candidate === undefined ? demand : capacityFor(candidate)),
    };
    adjustCapacity(capacity, demand, -1);
    spareCapacity.set(worker, capacity);
  }
  return { key: step.key, fitsInMs, spareCapacity };
}

/**
 * Returns the earliest time in ms at which the gang fits, and leaves the capacity that is expected then. The number of
 * places only grows with the time, so that a binary search over the run ends finds it.
 */
function findEarliestFit(
  step: ReadyStep,
  demand: Capacity,
  workers: readonly PlannedWorker[],
  expected: ExpectedCapacity,
): number | undefined {
  if (hasEnoughPlaces(step, demand, workers, expected)) return 0;
  const ends = expected.listEnds();
  let low = 0;
  let high = ends.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    expected.moveTo(ends[middle] ?? 0);
    if (hasEnoughPlaces(step, demand, workers, expected)) high = middle;
    else low = middle + 1;
  }
  const fitsInMs = ends[high];
  if (fitsInMs === undefined) return undefined;
  expected.moveTo(fitsInMs);
  return fitsInMs;
}

/** Returns whether all members fit, on the workers of one rack when they must share a rack. */
function hasEnoughPlaces(
  { step, waitingTasks }: ReadyStep,
  demand: Capacity,
  workers: readonly PlannedWorker[],
  { capacities }: ExpectedCapacity,
): boolean {
  const maxPerWorker = step.maxPerWorker > 0 ? step.maxPerWorker : waitingTasks.length;
  const placesByRack = new Map<string, number>();
  let sum = 0;
  for (const [position, capacity] of capacities.entries()) {
    const count = countFittingTasks(capacity, demand, maxPerWorker);
    const rack = workers[position]?.rack ?? '';
    const places = (step.sameRack ? (placesByRack.get(rack) ?? 0) : sum) + count;
    if (places >= waitingTasks.length) return true;
    if (step.sameRack) placesByRack.set(rack, places);
    else sum = places;
  }
  return false;
}
