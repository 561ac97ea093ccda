import { adjustCapacity } from '../adjust-capacity.js';
import { chooseReservedWorkers } from '../choose-reserved-workers.js';
import { countFittingTasks } from '../count-fitting-tasks.js';
import { placeGang } from '../place-gang.js';
import type { PlannedWorker } from '../planned-worker.js';
import type { ReadyStep } from '../ready-step.js';
import type { Reservation } from '../reservation.js';
import type { Capacity } from '../capacity.js';

/**
 * A gang that fits only later than this gets no reservation: estimates of later run ends are
 * unreliable.
 */
const MAX_WAIT_MS = 15_000;

/**
 * Reference of `reserveGang` for tests: adds the capacity of one run after the other, in the order of their ends,
 * until the gang fits.
 */
export function reserveGangByEvents(
  step: ReadyStep,
  demand: Capacity,
  candidates: readonly PlannedWorker[],
): Reservation | undefined {
  const expectedCapacity = new Map(candidates.map((worker) => [worker, { ...worker.free }]));
  const capacityFor = (worker: PlannedWorker): Capacity =>
    expectedCapacity.get(worker) ?? worker.free;
  const counter = GangPlaceCounter.create(step, demand, candidates, capacityFor);
  let fitsInMs = 0;
  if (!counter.hasEnoughPlaces()) {
    const runsByEnd = candidates
      .flatMap((worker) => worker.listRuns().map((run) => ({ run, worker })))
      .filter(({ run }) => run.endsInMs <= MAX_WAIT_MS)
      .sort((left, right) => left.run.endsInMs - right.run.endsInMs);
    for (const { run, worker } of runsByEnd) {
      // Runs that end together leave a choice of workers.
      if (counter.hasEnoughPlaces() && run.endsInMs > fitsInMs) break;
      adjustCapacity(capacityFor(worker), run.usedCapacity, 1);
      fitsInMs = run.endsInMs;
      counter.recount(worker);
    }
  }
  const assignments = counter.hasEnoughPlaces()
    ? placeGang(
        step,
        demand,
        chooseReservedWorkers(step, demand, candidates, capacityFor),
        capacityFor,
      )
    : undefined;
  if (assignments === undefined) return undefined;
  const byId = new Map(candidates.map((worker) => [worker.id, worker]));
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

/** Counts the members of a gang that fit on the workers; by rack when they must share a rack. */
class GangPlaceCounter {
  static create(
    step: ReadyStep,
    demand: Capacity,
    candidates: readonly PlannedWorker[],
    capacityFor: (worker: PlannedWorker) => Capacity,
  ): GangPlaceCounter {
    const counter = new GangPlaceCounter(step, demand, capacityFor);
    for (const worker of candidates) counter.recount(worker);
    return counter;
  }

  private readonly placesByWorker = new Map<PlannedWorker, number>();
  private readonly placesByRack = new Map<string, number>();
  private maxPlaces = 0;

  private constructor(
    private readonly step: ReadyStep,
    private readonly demand: Capacity,
    private readonly capacityFor: (worker: PlannedWorker) => Capacity,
  ) {}

  /** Counts the places on a worker again, after its capacity has grown. */
  recount(worker: PlannedWorker): void {
    const { step, waitingTasks } = this.step;
    const maxPerWorker = step.maxPerWorker > 0 ? step.maxPerWorker : waitingTasks.length;
    const count = countFittingTasks(this.capacityFor(worker), this.demand, maxPerWorker);
    const rack = step.sameRack ? worker.rack : '';
    const places =
      (this.placesByRack.get(rack) ?? 0) + count - (this.placesByWorker.get(worker) ?? 0);
    this.placesByWorker.set(worker, count);
    this.placesByRack.set(rack, places);
    this.maxPlaces = Math.max(this.maxPlaces, places);
  }

  hasEnoughPlaces(): boolean {
    return this.maxPlaces >= this.step.waitingTasks.length;
  }
}
