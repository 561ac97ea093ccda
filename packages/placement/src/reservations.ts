import { lifecycles } from '@acaciahoist/lifecycles';
import type { Cell } from './cell.js';
import type { JobRecord } from './job-record.js';
import type { Reservation } from './reservation.js';
import type { TaskRecord } from './task-record.js';
import { vectors } from './vectors.js';
import type { WorkerRecord } from './worker-record.js';

/** Workers examined for the reservation of a single task. */
const SAMPLED_WORKERS = 32;
/** A task past its expected end is expected to need this part of its elapsed time again. */
const OVERDUE_REMAINING_RATIO = 0.5;

/** Expected end of a running task, ms; later than now also when the estimate has passed. */
function estimateTaskEnd(task: TaskRecord, nowMs: number): number {
  if (task.expectedEndMs > nowMs) return task.expectedEndMs;
  return nowMs + OVERDUE_REMAINING_RATIO * (nowMs - task.startedAtMs);
}

/** Capacity minus use and holds, including the reserve for urgent work. */
function computeFreeCapacity(worker: WorkerRecord): number[] {
  return worker.capacity.map(
    (amount, i) => amount - vectors.at(worker.used, i) - vectors.at(worker.reserved, i),
  );
}

/** Creation and checks of reservations. */
export const reservations = {
  computeFreeCapacity,
  estimateTaskEnd,

  create(
    cell: Cell,
    job: JobRecord,
    task: TaskRecord | null,
    plan: Reservation['plan'],
    nowMs: number,
    readyAtMs: number,
    preemptedTasks: TaskRecord[] = [],
  ): Reservation {
    const state = lifecycles.reservation.initial;
    const times = { createdAtMs: nowMs, checkedAtMs: nowMs, readyAtMs };
    const reservation = { job, task, state, plan, preemptedTasks, ...times };
    for (const [worker, part] of plan) cell.hold(worker, part.demand, 1);
    cell.reservations.add(reservation);
    if (task === null) job.reservation = reservation;
    else task.reservation = reservation;
    if (task !== null && cell.getQueue(job) === job.team.queue) job.team.reservationCount += 1;
    return reservation;
  },

  /** Whether the worker has room for its part of the plan now. */
  hasCapacityFor(worker: WorkerRecord, demand: readonly number[]): boolean {
    const free = computeFreeCapacity(worker);
    vectors.addTo(free, demand);
    return vectors.fits(demand, free);
  },

  isReady(reservation: Reservation): boolean {
    for (const [worker, part] of reservation.plan) {
      if (worker.state !== 'active' || !reservations.hasCapacityFor(worker, part.demand))
        return false;
    }
    return true;
  },

  /** Expected time at which the need fits the worker when nothing else starts there, ms. */
  estimateFreeTime(worker: WorkerRecord, demand: readonly number[], nowMs: number): number {
    const free = computeFreeCapacity(worker);
    if (vectors.fits(demand, free)) return nowMs;
    const ends = [...worker.tasks]
      .map((task) => ({ task, atMs: estimateTaskEnd(task, nowMs) }))
      .sort((left, right) => left.atMs - right.atMs);
    for (const { task, atMs } of ends) {
      vectors.addTo(free, task.allocation);
      if (vectors.fits(demand, free)) return atMs;
    }
    return Infinity;
  },

  /** Reserves the worker of a sample at which one task fits soonest; false when there is none. */
  reserveForTask(cell: Cell, job: JobRecord, task: TaskRecord, nowMs: number): boolean {
    const demand = cell.needOf(task);
    const { list } = cell.table;
    let best: WorkerRecord | null = null;
    let bestAtMs = Infinity;
    for (let i = 0; i < Math.min(SAMPLED_WORKERS, list.length); i += 1) {
      const worker = cell.sampleWorker();
      if (worker?.state !== 'active' || !vectors.isZero(worker.reserved)) continue;
      if (!vectors.fits(demand, worker.capacity)) continue;
      const atMs = reservations.estimateFreeTime(worker, demand, nowMs);
      if (atMs >= bestAtMs) continue;
      bestAtMs = atMs;
      best = worker;
    }
    if (best === null) return false;
    const plan = new Map([[best, { demand, tasks: [task] }]]);
    reservations.create(cell, job, task, plan, nowMs, bestAtMs);
    return true;
  },
};
