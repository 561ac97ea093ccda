import { canRunOn } from './can-run-on.js';
import { chooseNamedWorkers } from './choose-named-workers.js';
import { fits } from './fits.js';
import { orderUnderOverload } from './order-under-overload.js';
import { packTasks } from './pack-tasks.js';
import { placeGang } from './place-gang.js';
import type { Plan } from './plan.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { Reservation } from './reservation.js';
import { reserveGang } from './reserve-gang.js';
import { RoomLedger } from './room-ledger.js';
import type { Room } from './room.js';
import { sizeOf } from './size-of.js';

/** Gangs for which room is kept at the same time; more would leave the cell idle. */
const MAX_RESERVATIONS = 3;
/** A ticket must be valid for this long when its start is decided: it is recorded and sent first. */
const TICKET_MARGIN_MS = 150;
/** Tickets of a reserved gang are renewed so that they arrive this long before its room. */
const ASK_AHEAD_MS = 250;

/**
 * Plans the starts of one round and the advice to ask for. Takes the room of the starts away from the
 * workers that were handed in. Pure: no clock, no network.
 */
export function planCell(
  steps: readonly ReadyStep[],
  workers: readonly PlannedWorker[],
  nowMs: number,
): Plan {
  const startable = workers.filter((worker) => worker.startable);
  const reservations: Reservation[] = [];
  const starts: { key: string; index: number; worker: string }[] = [];
  const asks: { key: string; workers: readonly string[] }[] = [];

  for (const step of orderUnderOverload(steps, nowMs)) {
    const size = sizeOf(step.step);
    const eligible = startable.filter((worker) => canRunOn(step, worker));
    const { advice } = step;
    if (advice !== undefined && !advice.isKnown) {
      if (!advice.isAsked) ask(step, size, eligible);
      continue;
    }
    const allowed =
      advice === undefined ? eligible : eligible.filter((worker) => advice.allowed.has(worker.id));
    const isTicketed = (worker: PlannedWorker): boolean =>
      advice === undefined || (advice.allowed.get(worker.id) ?? 0) > nowMs + TICKET_MARGIN_MS;
    const ticketed = allowed.filter(isTicketed);
    const ledger = RoomLedger.create(reservations, step);
    if (step.step.gang) planGang(step, size, eligible, allowed, ticketed, ledger);
    else planTasks(step, size, eligible, allowed, ticketed, ledger);
  }
  return {
    starts,
    asks,
    reservations: reservations.map(({ key, fitsInMs }) => ({ key, fitsInMs })),
  };

  function ask(step: ReadyStep, size: Room, eligible: readonly PlannedWorker[]): void {
    const named = chooseNamedWorkers(step, size, eligible);
    if (named.length > 0) asks.push({ key: step.key, workers: named });
  }

  function planTasks(
    step: ReadyStep,
    size: Room,
    eligible: readonly PlannedWorker[],
    allowed: readonly PlannedWorker[],
    ticketed: readonly PlannedWorker[],
    ledger: RoomLedger,
  ): void {
    const placed = packTasks(step, size, ticketed, ledger);
    for (const start of placed) starts.push({ key: step.key, ...start });
    if (placed.length === step.waiting.length || step.advice === undefined) return;
    const lapsed = allowed.filter((worker) => !ticketed.includes(worker));
    const wouldFit = [...lapsed, ...listUnnamed(step, eligible)].some((worker) =>
      fits(ledger.roomFor(worker), size),
    );
    if (wouldFit && !step.advice.isAsked) ask(step, size, eligible);
  }

  function planGang(
    step: ReadyStep,
    size: Room,
    eligible: readonly PlannedWorker[],
    allowed: readonly PlannedWorker[],
    ticketed: readonly PlannedWorker[],
    ledger: RoomLedger,
  ): void {
    const placed = placeGang(step, size, ticketed, (worker) => ledger.roomFor(worker));
    if (placed !== undefined) {
      for (const start of placed) {
        starts.push({ key: step.key, ...start });
        const worker = ticketed.find((candidate) => candidate.id === start.worker);
        if (worker !== undefined) ledger.take(worker, size);
      }
      return;
    }
    if (listUnnamed(step, eligible).some((worker) => fits(worker.total, size))) {
      if (step.advice?.isAsked === false) ask(step, size, eligible);
    }
    if (reservations.length >= MAX_RESERVATIONS) return;
    const reservation = reserveGang(step, size, allowed);
    if (reservation === undefined) return;
    reservations.push(reservation);
    const terms = step.queue.advice;
    if (step.advice === undefined || step.advice.isAsked || terms === undefined) return;
    if (asks.some((asked) => asked.key === step.key)) return;
    const askMs = terms.decisionMs + terms.perWorkerMs * allowed.length;
    const isLapsing = [...reservation.spare.keys()].some(
      (id) => (step.advice?.allowed.get(id) ?? 0) < nowMs + reservation.fitsInMs + TICKET_MARGIN_MS,
    );
    if (isLapsing && reservation.fitsInMs <= askMs + ASK_AHEAD_MS) ask(step, size, eligible);
  }
}

/** Workers of which the advice service was not asked for this step. */
function listUnnamed(step: ReadyStep, eligible: readonly PlannedWorker[]): PlannedWorker[] {
  const { advice } = step;
  if (advice === undefined) return [];
  return eligible.filter(
    (worker) => !advice.allowed.has(worker.id) && !advice.denied.has(worker.id),
  );
}
