import { admitsTask } from './admits-task.js';
import { avoidance } from './avoidance.js';
import { canHoldTasks } from './can-hold-tasks.js';
import { chooseNamedWorkers } from './choose-named-workers.js';
import type { FailedRuns } from './failed-runs.js';
import { findTaskKind } from './find-task-kind.js';
import { fits } from './fits.js';
import { hasCapacity } from './has-capacity.js';
import { occupyWorker } from './occupy-worker.js';
import { orderUnderOverload } from './order-under-overload.js';
import { packTasks } from './pack-tasks.js';
import { placeGang } from './place-gang.js';
import { placeGangAgain } from './place-gang-again.js';
import { listRunsOnce } from './list-runs-once.js';
import type { Plan } from './plan.js';
import type { PlanMethods } from './plan-methods.js';
import type { PlannedTeams } from './planned-teams.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { RoundBudget } from './round-budget.js';
import type { Reservation } from './reservation.js';
import { ReservationBounds } from './reservation-bounds.js';
import type { ReservationWaits } from './reservation-waits.js';
import { reserveGang } from './reserve-gang.js';
import { CapacityLedger } from './capacity-ledger.js';
import type { Capacity } from './capacity.js';
import { computeDemand } from './compute-demand.js';
import { hasValue } from './has-value.js';
import { TeamQuotas } from './team-quotas.js';
import { TeamShares } from './team-shares.js';
import { WorkerIndex } from './worker-index.js';

/** Maximum number of reservations in a small cell; more of them would leave too much of it idle. */
const MIN_RESERVATION_LIMIT = 3;
/**
 * Workers for each reservation in a larger cell. With only three reservations in a cell of 378
 * workers, gangs queued behind each other.
 */
const WORKERS_PER_RESERVATION = 32;
/**
 * Number of searches for a reservation that a round allows beyond the maximum number of
 * reservations. The limit bounds the cost of gangs that find no reservation and search again in
 * every round.
 */
const EXTRA_SEARCHES = 3;
/**
 * Minimum remaining validity of a ticket when a start is planned: the start is recorded and sent
 * before the worker checks the ticket.
 */
const TICKET_MARGIN_MS = 150;
/** Renewed tickets of a gang should arrive this long before its reserved capacity is free. */
const REQUEST_LEAD_MS = 250;
/** Limit on the cost of steps that never fit: a round looks no further for one that lacks room. */
const MAX_ROOM_CHECKS = 16;
const NO_TEAMS: PlannedTeams = {
  teams: [],
  usedByAll: { millicores: 0, memoryMib: 0, accelerators: 0 },
  isShort: false,
};
const UNLIMITED_BUDGET: RoundBudget = {
  promptRequests: Number.POSITIVE_INFINITY,
  otherRequests: Number.POSITIVE_INFINITY,
  starts: Number.POSITIVE_INFINITY,
};
const PLAN_METHODS: PlanMethods = { order: orderUnderOverload, reserveGang, chooseNamedWorkers };
const NO_WAITS: ReservationWaits = { heldSinceMs: new Map(), reservedSinceMs: new Map() };

/**
 * Plans the starts and the advice requests of one round. Subtracts the demand of the starts from
 * the free capacity of the given workers. No start brings a team above its quota. `formerWaits` come
 * from the round before. Uses neither clock nor network.
 */
export function planCell(
  steps: readonly ReadyStep[],
  workers: readonly PlannedWorker[],
  nowMs: number,
  roundBudget: RoundBudget = UNLIMITED_BUDGET,
  planned: PlannedTeams = NO_TEAMS,
  formerWaits = NO_WAITS,
  methods = PLAN_METHODS,
): Plan {
  const workerIndex = WorkerIndex.create(workers);
  const reservations: Reservation[] = [];
  const bounds = ReservationBounds.create(steps, workers, nowMs, formerWaits);
  const starts: { key: string; index: number; worker: string }[] = [];
  const adviceRequests: { key: string; workers: readonly string[] }[] = [];
  const heldByQuota = new Set<string>();
  const budget = { ...roundBudget };
  const quotas = TeamQuotas.create(planned.teams);
  let lacksRoom = false;
  let roomChecks = 0;
  const maxReservations = Math.max(
    MIN_RESERVATION_LIMIT,
    Math.ceil(workers.length / WORKERS_PER_RESERVATION),
  );
  let reservationSearches = 0;
  const listRuns = listRunsOnce();

  const startableSteps = steps.filter((step) => isPermitted(step) || quotas.mayKeep(step, nowMs));
  const shares = TeamShares.create(planned, startableSteps);
  for (const step of methods.order(startableSteps, nowMs, shares)) {
    if (!isPermitted(step)) {
      if (quotas.mayKeep(step, nowMs)) quotas.keep(step);
      continue;
    }
    if (step.advice?.isOutstanding === true) quotas.subtractAdvised(step);
    const demand = computeDemand(step.step);
    if (step.advice?.isAnswered === false) {
      requestAdvice(step, demand);
      continue;
    }
    if (budget.starts <= 0) continue;
    const mayFit = workerIndex.mayFit(step, demand, step.step.gang ? step.waitingTasks.length : 1);
    if (!mayFit) {
      checkRoom(step, demand, (worker) => worker.free);
      bounds.recordHeld(step, false);
    }
    if (!mayFit && (!step.step.gang || !mayReserve())) continue;
    const ledger = CapacityLedger.create(bounds.listBinding(reservations, step), step);
    if (!step.step.gang && !hasAllowedWorkerWithRoom(step, demand)) {
      planWithoutRoom(step, demand, ledger);
      continue;
    }
    const allowedWorkers = workerIndex.listAllowed(step);
    const startableWorkers = allowedWorkers.filter(
      (worker) => fits(worker.free, demand) && hasTicket(step, worker, nowMs),
    );
    if (step.step.gang) planGang(step, demand, allowedWorkers, startableWorkers, ledger);
    else planTasks(step, demand, allowedWorkers, startableWorkers, ledger);
    // Later gangs of the team must not reserve capacity for room that this one takes.
    if (reservations.at(-1)?.key === step.key)
      quotas.subtractStarts(step, step.waitingTasks.length);
  }
  return {
    starts,
    adviceRequests,
    reservations: reservations.map(({ key, fitsInMs }) => ({ key, fitsInMs })),
    heldByQuota: [...heldByQuota],
    lacksRoom,
    waits: bounds.waits,
  };

  /** Returns whether the quota of the step's team permits a start, and notes the step otherwise. */
  function isPermitted(step: ReadyStep): boolean {
    const isStartable = quotas.countStartable(step) > 0;
    if (!isStartable) heldByQuota.add(step.key);
    return isStartable;
  }

  /**
   * Notes that a step lacks room, unless it has no value any more, would not fit on idle workers either, or waits for
   * something else on workers that have room.
   */
  function checkRoom(
    step: ReadyStep,
    demand: Capacity,
    capacityFor: (worker: PlannedWorker) => Capacity,
  ): void {
    if (lacksRoom || roomChecks >= MAX_ROOM_CHECKS || !hasValue(step, nowMs)) return;
    roomChecks += 1;
    const tasks = step.step.gang ? step.waitingTasks.length : 1;
    const allowedWorkers = workerIndex.listAllowed(step);
    lacksRoom =
      !canHoldTasks(step, demand, tasks, allowedWorkers, capacityFor) &&
      canHoldTasks(step, demand, tasks, allowedWorkers, (worker) => worker.total);
  }

  /** Returns whether the round may search for another reservation. */
  function mayReserve(): boolean {
    return (
      reservations.length < maxReservations &&
      reservationSearches < maxReservations + EXTRA_SEARCHES
    );
  }

  /** Returns whether the round may request advice for the step. */
  function mayRequestAdvice(step: ReadyStep): boolean {
    return (
      step.advice?.isOutstanding === false &&
      budget[selectBudgetField(step)] > 0 &&
      quotas.countAdvisable(step) > 0
    );
  }

  /**
   * Plans an advice request for the step. Returns false when the round may not request advice for it
   * or there is no worker to name.
   */
  function requestAdvice(step: ReadyStep, demand: Capacity): boolean {
    if (!mayRequestAdvice(step)) return false;
    const namedWorkers = methods.chooseNamedWorkers(step, demand, workerIndex);
    if (namedWorkers.length === 0) return false;
    budget[selectBudgetField(step)] -= 1;
    quotas.subtractAdvised(step);
    adviceRequests.push({ key: step.key, workers: namedWorkers });
    return true;
  }

  /**
   * Returns whether a worker that advice allows has room for a task. On a full cell few workers have room, so that
   * this takes less time than the list of the allowed workers.
   */
  function hasAllowedWorkerWithRoom(step: ReadyStep, demand: Capacity): boolean {
    // Best-effort tasks take no processors, so that most workers have room for them.
    if (demand.millicores === 0) return true;
    return workerIndex
      .listWithRoom(step, demand)
      .some(({ id }) => step.advice === undefined || step.advice.allowed.has(id));
  }

  /** Plans what a step does that can start no task: an advice request if it would let a task start. */
  function planWithoutRoom(step: ReadyStep, demand: Capacity, ledger: CapacityLedger): void {
    bounds.recordHeld(step, false);
    checkRoom(step, demand, (worker) => ledger.capacityFor(worker));
    if (mayRequestAdvice(step) && hasUnnamedWorkerWithFreeCapacity(step, demand, ledger))
      requestAdvice(step, demand);
  }

  /** Plans starts of the step's tasks, and an advice request if it would let more of them start. */
  function planTasks(
    step: ReadyStep,
    demand: Capacity,
    allowedWorkers: readonly PlannedWorker[],
    startableWorkers: readonly PlannedWorker[],
    ledger: CapacityLedger,
  ): void {
    const permittedTasks = quotas.countStartable(step);
    const assignments = packTasks(
      step,
      demand,
      startableWorkers,
      ledger,
      Math.min(
        budget.starts,
        permittedTasks,
        bounds.isReleased(step) ? bounds.countReleasedTasks(step) : permittedTasks,
      ),
      nowMs,
      (failedRuns) => mayReturn(step, demand, failedRuns),
    );
    for (const start of assignments) starts.push({ key: step.key, ...start });
    budget.starts -= assignments.length;
    workerIndex.countStarts(assignments.length);
    quotas.subtractStarts(step, assignments.length);
    bounds.recordHeld(
      step,
      assignments.length < permittedTasks && ledger.withholds(allowedWorkers, demand),
    );
    if (assignments.length === permittedTasks) return;
    if (budget.starts > 0) checkRoom(step, demand, (worker) => ledger.capacityFor(worker));
    if (!mayRequestAdvice(step)) return;
    const canStartAfterRenewal = allowedWorkers.some(
      (worker) =>
        hasCapacity(worker, demand, ledger) &&
        !hasTicket(step, worker, nowMs) &&
        admitsTask(worker, step),
    );
    if (canStartAfterRenewal || hasUnnamedWorkerWithFreeCapacity(step, demand, ledger))
      requestAdvice(step, demand);
  }

  /**
   * Plans the starts of a gang if all its tasks fit. Otherwise reserves capacity for it, and
   * requests advice for workers that no request has named or whose tickets would expire before the
   * gang fits.
   */
  function planGang(
    step: ReadyStep,
    demand: Capacity,
    allowedWorkers: readonly PlannedWorker[],
    startableWorkers: readonly PlannedWorker[],
    ledger: CapacityLedger,
  ): void {
    const assignments = workerIndex.mayFit(step, demand, step.waitingTasks.length)
      ? placeGangAgain(step, nowMs, startableWorkers, (candidates) =>
          placeGang(step, demand, candidates, (worker) => ledger.capacityFor(worker)),
        )
      : undefined;
    if (assignments !== undefined) {
      budget.starts -= assignments.length;
      workerIndex.countStarts(assignments.length);
      quotas.subtractStarts(step, assignments.length);
      const byId = new Map(startableWorkers.map((worker) => [worker.id, worker]));
      for (const start of assignments) {
        starts.push({ key: step.key, ...start });
        const worker = byId.get(start.worker);
        if (worker === undefined) continue;
        ledger.subtract(worker, demand);
        occupyWorker(worker, findTaskKind(step.step), step.step.image);
      }
      return;
    }
    checkRoom(step, demand, (worker) => ledger.capacityFor(worker));
    bounds.recordHeld(
      step,
      ledger.withholds(startableWorkers, demand) &&
        placeGang(
          step,
          demand,
          allowedWorkers.filter((worker) => hasTicket(step, worker, nowMs)),
          ({ free }) => free,
        ) !== undefined,
    );
    const isRequested =
      mayRequestAdvice(step) &&
      hasUnnamedWorkerWithTotalCapacity(step, demand) &&
      requestAdvice(step, demand);
    if (!mayReserve()) return;
    // Only capacity that becomes free can be reserved. A gang that never fits takes no search from another one.
    const canEverFit = canHoldTasks(
      step,
      demand,
      step.waitingTasks.length,
      allowedWorkers,
      (worker) => worker.eventuallyFree,
    );
    if (!canEverFit) return;
    reservationSearches += 1;
    const reservation = methods.reserveGang(step, demand, allowedWorkers, listRuns);
    if (reservation === undefined) return;
    reservations.push(reservation);
    bounds.recordReservation(step.key);
    const terms = step.queue.advice;
    if (step.advice === undefined || terms === undefined || isRequested) return;
    const requestMs = terms.decisionMs + terms.perWorkerMs * allowedWorkers.length;
    const isExpiring = [...reservation.spareCapacity.keys()].some(
      (id) => (step.advice?.allowed.get(id) ?? 0) < nowMs + reservation.fitsInMs + TICKET_MARGIN_MS,
    );
    if (isExpiring && reservation.fitsInMs <= requestMs + REQUEST_LEAD_MS)
      requestAdvice(step, demand);
  }

  /** Returns whether a task may go back to the workers on which its runs have failed. */
  function mayReturn(step: ReadyStep, demand: Capacity, failedRuns: FailedRuns): boolean {
    if (nowMs - failedRuns.waitingSinceMs >= avoidance.maxMs) return true;
    const couldRunElsewhere = workerIndex
      .listEligible(step)
      .some(
        (worker) =>
          !failedRuns.workers.includes(worker.id) &&
          step.advice?.denied.has(worker.id) !== true &&
          fits(worker.eventuallyFree, demand),
      );
    return !couldRunElsewhere;
  }

  /** Returns whether a worker that no advice request has named yet has free capacity for a task. */
  function hasUnnamedWorkerWithFreeCapacity(
    step: ReadyStep,
    demand: Capacity,
    ledger: CapacityLedger,
  ): boolean {
    const { advice } = step;
    if (advice === undefined) return false;
    return workerIndex
      .listWithRoom(step, demand)
      .some(
        (worker) =>
          hasCapacity(worker, demand, ledger) &&
          !advice.allowed.has(worker.id) &&
          !advice.denied.has(worker.id) &&
          admitsTask(worker, step),
      );
  }

  /**
   * Returns whether a worker that no advice request has named yet could run a task if it were idle.
   */
  function hasUnnamedWorkerWithTotalCapacity(step: ReadyStep, demand: Capacity): boolean {
    const { advice } = step;
    if (advice === undefined) return false;
    return workerIndex
      .listByFreeCpu(step)
      .some(
        (worker) =>
          !advice.allowed.has(worker.id) &&
          !advice.denied.has(worker.id) &&
          fits(worker.total, demand),
      );
  }
}

function selectBudgetField(step: ReadyStep): 'promptRequests' | 'otherRequests' {
  return step.queue.priority === 0 ? 'promptRequests' : 'otherRequests';
}

/**
 * Returns whether the step needs no ticket, or has one for the worker that is valid for long
 * enough.
 */
function hasTicket(step: ReadyStep, worker: PlannedWorker, nowMs: number): boolean {
  if (step.advice === undefined) return true;
  return (step.advice.allowed.get(worker.id) ?? 0) > nowMs + TICKET_MARGIN_MS;
}
