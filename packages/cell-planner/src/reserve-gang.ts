import { changeRoom } from './change-room.js';
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
  const later = new Map(candidates.map((worker) => [worker.id, { ...worker.free }]));
  const roomFor = (worker: PlannedWorker): Room => later.get(worker.id) ?? worker.free;
  const releases = candidates
    .flatMap((worker) => worker.runs.map((run) => ({ ...run, worker: worker.id })))
    .sort((left, right) => left.endsInMs - right.endsInMs);
  let placed = placeGang(step, size, candidates, roomFor);
  let fitsInMs = 0;
  for (const release of releases) {
    if (placed !== undefined) break;
    if (release.endsInMs > HORIZON_MS) return undefined;
    const room = later.get(release.worker);
    if (room === undefined) continue;
    changeRoom(room, release.size, 1);
    fitsInMs = release.endsInMs;
    placed = placeGang(step, size, candidates, roomFor);
  }
  if (placed === undefined) return undefined;
  const spare = new Map<string, Room>();
  for (const { worker } of placed) {
    const room = spare.get(worker) ?? { ...(later.get(worker) as Room) };
    changeRoom(room, size, -1);
    spare.set(worker, room);
  }
  return { key: step.key, fitsInMs, spare };
}
