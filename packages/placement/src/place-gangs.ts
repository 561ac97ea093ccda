import { lifecycles } from '@acaciahoist/lifecycles';
import type { JobRecord } from './job-record.js';
import type { Reservation } from './reservation.js';
import { reservations } from './reservations.js';
import type { Round } from './round.js';
import type { TaskRecord } from './task-record.js';
import { vectors } from './vectors.js';
import type { WorkerRecord } from './worker-record.js';

/** Oldest gangs tried in one round. */
const GANGS_PER_ROUND = 8;
/** Longest delay of a gang whose team exceeds its quota, ms; limited so that no gang starves. */
const MAX_QUOTA_DELAY_MS = 60_000;
/** An urgent gang is ordered as if it had been submitted this much earlier, ms. */
const URGENT_ADVANCE_MS = 120_000;
/** Time past `readyAtMs` of a reservation after which backfilled tasks are checkpointed, ms. */
const OVERDUE_MS = 500;
/** Longest remaining run time assumed for other tasks, ms; without a limit backfill could continue forever. */
const MAX_REMAINING_MS = 60_000;
/** Time between two checks of a plan, which examine all planned workers, ms. */
const CHECK_INTERVAL_MS = 1_000;

/** Sort key of gangs: time of submission, later for teams over quota and earlier when urgent. */
function computeOrderTime(job: JobRecord): number {
  const excess = Math.min(1, Math.max(0, job.team.shareToQuotaRatio - 1));
  const advance = job.spec.urgent ? URGENT_ADVANCE_MS : 0;
  return job.submittedAtMs + excess * MAX_QUOTA_DELAY_MS - advance;
}

/** Sorts tasks by demand, largest first, because the largest are the hardest to place. */
function sortLargestFirst(round: Round, job: JobRecord, tasks = job.waitingTasks): TaskRecord[] {
  const total = round.partition.workerTable.totalCapacity;
  const computeSize = (task: TaskRecord) => vectors.dominantShare(task.demand, total);
  if (job.spec.groups.length === 1) return [...tasks];
  return [...tasks].sort((left, right) => computeSize(right) - computeSize(left));
}

/** Starts every task of the gang in this round, or none. */
function placeGang(round: Round, job: JobRecord): boolean {
  const { partition } = round;
  const assignments: { task: TaskRecord; worker: WorkerRecord; demand: number[] }[] = [];
  for (const task of sortLargestFirst(round, job)) {
    const demand = partition.computeDemand(task);
    const worker = partition.workerTable.find(demand, (candidate) =>
      round.scoreFit(demand, candidate),
    );
    if (worker === null) break;
    partition.adjustReserved(worker, demand, 1);
    assignments.push({ task, worker, demand });
  }
  const isComplete = assignments.length === job.waitingTasks.length;
  const releaseCount = partition.releaseCount;
  for (const { worker, demand } of assignments) partition.adjustReserved(worker, demand, -1);
  // The capacity was reserved only during the search; none became free for other jobs.
  partition.releaseCount = releaseCount;
  round.countSearch();
  if (!isComplete) return false;
  if (job.reservation !== null) partition.endReservation(job.reservation, 'release');
  job.waitingTasks = [];
  for (const { task, worker } of assignments)
    round.start(task, worker, 'all tasks of the gang fit');
  return true;
}

/**
 * Plans workers for the tasks. Capacity of batch and gang tasks counts as free from their expected ends on;
 * capacity of services and reservations does not. Returns null when the tasks do not fit even so.
 */
function planReservation(
  round: Round,
  job: JobRecord,
  tasks = job.waitingTasks,
): { plan: Reservation['plan']; readyAtMs: number } | null {
  const { partition, nowMs } = round;
  const candidates: { worker: WorkerRecord; free: number[]; freeAtMs: number }[] = [];
  for (const worker of partition.workerTable.workers) {
    if (worker.state !== 'active') continue;
    const free = reservations.computeFreeCapacity(worker);
    let freeAtMs = nowMs;
    for (const task of worker.tasks) {
      if (task.job.spec.kind === 'service') continue;
      vectors.addTo(free, task.allocation);
      const endMs = reservations.estimateTaskEnd(task, nowMs);
      freeAtMs = Math.max(freeAtMs, Math.min(endMs, nowMs + MAX_REMAINING_MS));
    }
    candidates.push({ worker, free, freeAtMs });
  }
  candidates.sort((left, right) => left.freeAtMs - right.freeAtMs);
  const plan: Reservation['plan'] = new Map();
  let readyAtMs = nowMs;
  let candidateIndex = 0;
  let lastDemand: number[] | null = null;
  for (const task of sortLargestFirst(round, job, tasks)) {
    const demand = partition.computeDemand(task);
    if (lastDemand === null || demand.some((amount, i) => amount !== lastDemand?.[i]))
      candidateIndex = 0;
    lastDemand = demand;
    while (
      candidateIndex < candidates.length &&
      !vectors.fits(demand, candidates[candidateIndex]?.free ?? [])
    )
      candidateIndex += 1;
    const candidate = candidates[candidateIndex];
    if (candidate === undefined) return null;
    vectors.addTo(candidate.free, demand, -1);
    const workerPlan = plan.get(candidate.worker) ?? { demand: [], tasks: [] };
    vectors.addTo(workerPlan.demand, demand);
    workerPlan.tasks.push(task);
    plan.set(candidate.worker, workerPlan);
    readyAtMs = Math.max(readyAtMs, candidate.freeAtMs);
  }
  return { plan, readyAtMs };
}

/** Releases the reservations of single batch tasks, which then wait for the gang, and plans again. */
function planWithoutTaskReservations(
  round: Round,
  job: JobRecord,
): ReturnType<typeof planReservation> {
  for (const reservation of round.partition.reservations) {
    if (reservation.task === null || reservation.preemptedTasks.length > 0) continue;
    round.partition.endReservation(reservation, 'release');
  }
  return planReservation(round, job);
}

/** Reserves workers for the gang; false when services and other reservations leave too little capacity. */
function reserveForGang(round: Round, job: JobRecord): boolean {
  const { partition, nowMs } = round;
  const planned = planReservation(round, job) ?? planWithoutTaskReservations(round, job);
  if (planned === null) {
    partition.explain(
      job,
      'no-room',
      'services and reservations leave too little capacity for the gang',
      nowMs,
    );
    return false;
  }
  reservations.create(partition, job, null, planned.plan, nowMs, planned.readyAtMs);
  partition.explain(job, 'draining', `${planned.plan.size} workers are drained`, nowMs);
  if (job.explanation !== null) job.explanation.untilMs = planned.readyAtMs;
  return true;
}

/** Lists planned workers on which the planned tasks will not fit even when only services still run there. */
function listBlockedWorkers(reservation: Reservation): WorkerRecord[] {
  const blockedWorkers: WorkerRecord[] = [];
  for (const [worker, workerPlan] of reservation.plan) {
    const free = reservations.computeFreeCapacity(worker);
    vectors.addTo(free, workerPlan.demand);
    for (const task of worker.tasks) {
      if (task.job.spec.kind !== 'service') vectors.addTo(free, task.allocation);
    }
    if (!vectors.fits(workerPlan.demand, free)) blockedWorkers.push(worker);
  }
  return blockedWorkers;
}

/** Whether all batch and gang tasks on planned workers that are not free yet started after the reservation. */
function waitsOnlyForBackfill(reservation: Reservation): boolean {
  for (const [worker, workerPlan] of reservation.plan) {
    if (reservations.hasCapacityFor(worker, workerPlan.demand)) continue;
    for (const task of worker.tasks) {
      const isOlder = task.startedAtMs < reservation.createdAtMs;
      if (isOlder && task.job.spec.kind !== 'service') return false;
    }
  }
  return true;
}

/** Checkpoints the backfilled tasks on the planned workers, because they delay the gang. */
function checkpointOverdueBackfill(round: Round, reservation: Reservation): void {
  for (const worker of reservation.plan.keys()) {
    for (const task of worker.tasks) {
      if (task.preemptiblePosition < 0 || task.startedAtMs < reservation.createdAtMs) continue;
      if (round.partition.mayCheckpoint(task)) {
        round.requestTaskEnd(
          task,
          'checkpoint',
          `overdue backfill on workers of gang ${reservation.job.id}`,
        );
      }
    }
  }
}

/**
 * Replaces workers of the plan and keeps the capacity reserved on the others. If each lost worker caused a
 * completely new plan, the reservation of a gang that needs half of all workers would never become ready.
 * Returns false when the tasks of the replaced workers fit nowhere else.
 */
function replaceWorkers(
  round: Round,
  reservation: Reservation,
  workers: readonly WorkerRecord[],
): boolean {
  const { partition } = round;
  const { plan, job } = reservation;
  const movedTasks: TaskRecord[] = [];
  for (const worker of workers) {
    const workerPlan = plan.get(worker);
    if (workerPlan === undefined) continue;
    partition.adjustReserved(worker, workerPlan.demand, -1);
    plan.delete(worker);
    movedTasks.push(...workerPlan.tasks);
  }
  const planned = planReservation(round, job, movedTasks);
  if (planned === null) return false;
  for (const [worker, { demand, tasks }] of planned.plan) {
    partition.adjustReserved(worker, demand, 1);
    const workerPlan = plan.get(worker) ?? { demand: [], tasks: [] };
    vectors.addTo(workerPlan.demand, demand);
    workerPlan.tasks.push(...tasks);
    plan.set(worker, workerPlan);
  }
  reservation.readyAtMs = Math.max(reservation.readyAtMs, planned.readyAtMs);
  return true;
}

/** Starts the gang when the planned workers are free; otherwise checks the plan and replaces workers. */
function advanceReservation(round: Round, reservation: Reservation): void {
  const { partition, nowMs } = round;
  const job = reservation.job;
  const inactiveWorkers = [...reservation.plan.keys()].filter(
    (worker) => worker.state !== 'active',
  );
  const mayStartElsewhere = nowMs - reservation.createdAtMs >= partition.limits.minReservationAgeMs;
  const cannotReplace =
    inactiveWorkers.length > 0 && !replaceWorkers(round, reservation, inactiveWorkers);
  if (cannotReplace || job.state !== 'waiting' || job.waitingTasks.length === 0) {
    partition.endReservation(reservation, 'release');
    return;
  }
  if (reservations.isReady(reservation)) {
    const planEntries = [...reservation.plan];
    reservation.state = lifecycles.reservation.step(reservation.state, 'ready');
    partition.endReservation(reservation, 'use');
    job.waitingTasks = [];
    for (const [worker, workerPlan] of planEntries) {
      for (const task of workerPlan.tasks)
        round.start(task, worker, 'the drained workers are free');
    }
    return;
  }
  if (nowMs - reservation.checkedAtMs >= CHECK_INTERVAL_MS) {
    reservation.checkedAtMs = nowMs;
    const blockedWorkers = listBlockedWorkers(reservation);
    if (blockedWorkers.length > 0 && !replaceWorkers(round, reservation, blockedWorkers)) {
      partition.endReservation(reservation, 'release');
      return;
    }
    const isOverdue = nowMs > reservation.readyAtMs + OVERDUE_MS;
    if (isOverdue || waitsOnlyForBackfill(reservation))
      checkpointOverdueBackfill(round, reservation);
  }
  if (mayStartElsewhere) placeGang(round, job);
}

/**
 * Places gangs in order of submission. One gang at a time has a reservation, so that two gangs
 * never wait for each other's workers; the others start only when all their tasks fit at once.
 */
export function placeGangs(round: Round): void {
  const { partition } = round;
  for (const reservation of partition.reservations) {
    if (reservation.task === null) advanceReservation(round, reservation);
  }
  const jobs = partition.gangQueue.listOldest(GANGS_PER_ROUND);
  jobs.sort((left, right) => computeOrderTime(left) - computeOrderTime(right));
  let hasReservation = jobs.some((job) => job.reservation !== null);
  for (const job of jobs) {
    if (round.isFull()) return;
    if (job.reservation !== null || job.blockedAtReleaseCount === partition.releaseCount) continue;
    if (placeGang(round, job)) continue;
    job.blockedAtReleaseCount = partition.releaseCount;
    if (hasReservation) {
      partition.explain(job, 'reserved', 'another gang holds the reservation', round.nowMs);
      continue;
    }
    hasReservation = reserveForGang(round, job);
  }
}
