import { changeRoom } from './change-room.js';
import { countFitting } from './count-fitting.js';
import { placeGang } from './place-gang.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { Reservation } from './reservation.js';
import type { Room } from './room.js';

/** A gang that fits only later than this gets no reservation: estimates say little beyond it. */
const HORIZON_MS = 15_000;

/**
 * Load pattern: gangs behind a stream of small tasks. Small tasks would take each hole as it opens and
 * the gang would wait for ever. Finds the earliest time at which the gang fits by the expected ends of
 * runs, and the room that it then takes on each worker.
 */
export function reserveGang(
  step: ReadyStep,
  size: Room,
  candidates: readonly PlannedWorker[],
): Reservation | undefined {
  const later = new Map(candidates.map((worker) => [worker, { ...worker.free }]));
  const roomFor = (worker: PlannedWorker): Room => later.get(worker) ?? worker.free;
  const places = GangPlaces.create(step, size, candidates, roomFor);
  let fitsInMs = 0;
  if (!places.suffice()) {
    const releases = candidates
      .flatMap((worker) => worker.listRuns().map((run) => ({ run, worker })))
      .filter(({ run }) => run.endsInMs <= HORIZON_MS)
      .sort((left, right) => left.run.endsInMs - right.run.endsInMs);
    for (const { run, worker } of releases) {
      changeRoom(roomFor(worker), run.size, 1);
      fitsInMs = run.endsInMs;
      places.recount(worker);
      if (places.suffice()) break;
    }
  }
  const placed = places.suffice() ? placeGang(step, size, candidates, roomFor) : undefined;
  if (placed === undefined) return undefined;
  const byId = new Map(candidates.map((worker) => [worker.id, worker]));
  const spare = new Map<string, Room>();
  for (const { worker } of placed) {
    const found = byId.get(worker);
    const room = spare.get(worker) ?? { ...(found === undefined ? size : roomFor(found)) };
    changeRoom(room, size, -1);
    spare.set(worker, room);
  }
  return { key: step.key, fitsInMs, spare };
}

/** How many members of a gang have a place, for each rack where they must share one. */
class GangPlaces {
  static create(
    step: ReadyStep,
    size: Room,
    candidates: readonly PlannedWorker[],
    roomFor: (worker: PlannedWorker) => Room,
  ): GangPlaces {
    const places = new GangPlaces(step, size, roomFor);
    for (const worker of candidates) places.recount(worker);
    return places;
  }

  private readonly byWorker = new Map<PlannedWorker, number>();
  private readonly byRack = new Map<string, number>();
  private most = 0;

  private constructor(
    private readonly step: ReadyStep,
    private readonly size: Room,
    private readonly roomFor: (worker: PlannedWorker) => Room,
  ) {}

  /** The room of the worker has grown. */
  recount(worker: PlannedWorker): void {
    const { step, waiting } = this.step;
    const perWorker = step.maxPerWorker > 0 ? step.maxPerWorker : waiting.length;
    const count = countFitting(this.roomFor(worker), this.size, perWorker);
    const rack = step.sameRack ? worker.rack : '';
    const places = (this.byRack.get(rack) ?? 0) + count - (this.byWorker.get(worker) ?? 0);
    this.byWorker.set(worker, count);
    this.byRack.set(rack, places);
    this.most = Math.max(this.most, places);
  }

  suffice(): boolean {
    return this.most >= this.step.waiting.length;
  }
}
