import { lifecycles } from '@acaciahoist/lifecycles';
import type { PartitionState } from './partition-state.js';
import type { JobRecord } from './job-record.js';
import type { Reservation } from './reservation.js';
import type { TaskRecord } from './task-record.js';
import { vectors } from './vectors.js';
import type { WorkerRecord } from './worker-record.js';

/** Workers examined for the reservation of one task. */
const SAMPLED_WORKERS = 32;
/** A task past its expected end is expected to run on for this part of its elapsed run time. */
const OVERDUE_REMAINING_RATIO = 0.5;

/** Estimates the end of a task, ms; later than now even when its expected end has passed. */
function estimateTaskEnd(task: TaskRecord, nowMs: number): number {
  if (task.expectedEndAtMs > nowMs) return task.expectedEndAtMs;
  return nowMs + OVERDUE_REMAINING_RATIO * (nowMs - task.startedAtMs);
}

/** Returns the capacity that is neither used nor reserved; it includes the urgent reserve. */
function computeFreeCapacity(worker: WorkerRecord): number[] {
  return worker.capacity.map(
    (amount, i) => amount - vectors.at(worker.used, i) - vectors.at(worker.reserved, i),
  );
}

/** Creates and checks reservations. */
export const reservations = {
  computeFreeCapacity,
  estimateTaskEnd,

  /** Reserves the capacity of the plan for the task, or for the gang when `task` is null. */
  create(
    partition: PartitionState,
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
    for (const [worker, workerPlan] of plan) partition.adjustReserved(worker, workerPlan.demand, 1);
    partition.reservations.add(reservation);
    if (task === null) job.reservation = reservation;
    else task.reservation = reservation;
    if (task !== null && partition.getQueue(job) === job.team.queue) job.team.reservationCount += 1;
    return reservation;
  },

  /** Whether the worker now has free capacity for its reserved part of a plan. */
  hasCapacityFor(worker: WorkerRecord, demand: readonly number[]): boolean {
    const free = computeFreeCapacity(worker);
    vectors.addTo(free, demand);
    return vectors.fits(demand, free);
  },

  /** Whether the planned tasks can start now. */
  isReady(reservation: Reservation): boolean {
    for (const [worker, workerPlan] of reservation.plan) {
      if (worker.state !== 'active' || !reservations.hasCapacityFor(worker, workerPlan.demand))
        return false;
    }
    return true;
  },

  /** Estimates the time at which the demand fits the worker if nothing else starts there, ms. */
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

  /** Samples workers and reserves the one on which the task fits soonest; false when it fits on none. */
  reserveForTask(
    partition: PartitionState,
    job: JobRecord,
    task: TaskRecord,
    nowMs: number,
  ): boolean {
    const demand = partition.computeDemand(task);
    const { workers: list } = partition.workerTable;
    let best: WorkerRecord | null = null;
    let bestAtMs = Infinity;
    for (let i = 0; i < Math.min(SAMPLED_WORKERS, list.length); i += 1) {
      const worker = partition.getNextWorker();
      if (worker?.state !== 'active' || !vectors.isZero(worker.reserved)) continue;
      if (!vectors.fits(demand, worker.capacity)) continue;
      const atMs = reservations.estimateFreeTime(worker, demand, nowMs);
      if (atMs >= bestAtMs) continue;
      bestAtMs = atMs;
      best = worker;
    }
    if (best === null) return false;
    const plan = new Map([[best, { demand, tasks: [task] }]]);
    reservations.create(partition, job, task, plan, nowMs, bestAtMs);
    return true;
  },
};
