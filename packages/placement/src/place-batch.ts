import { findResourceShortage } from './find-resource-shortage.js';
import type { JobRecord } from './job-record.js';
import { reservations } from './reservations.js';
import type { Round } from './round.js';
import type { TaskRecord } from './task-record.js';
import type { Team } from './team.js';
import { vectors } from './vectors.js';
import type { WorkerRecord } from './worker-record.js';

/** Workers with reservations that are examined for the backfill of one task. */
const BACKFILL_CANDIDATES = 16;
/** Deviations above the mean run time that are assumed for a backfilled task. */
const BACKFILL_DEVIATIONS = 2;

/** A task that needs at least this part of a worker's capacity is large. */
const LARGE_TASK_SHARE = 1 / 8;
/** New reservations per job and round, and the number of searches that each of them counts as. */
const RESERVATIONS_PER_ROUND = 2;
const SEARCHES_PER_RESERVATION = 8;

/**
 * Returns a worker whose reserved capacity the next task of the job can use, because it is expected
 * to end before the reservation is ready; null when there is none.
 */
function findBackfillWorker(
  round: Round,
  job: JobRecord,
  demand: readonly number[],
): WorkerRecord | null {
  const { partition, nowMs } = round;
  const task = job.waitingTasks[job.waitingTasks.length - 1];
  if (task === undefined) return null;
  const endMs = nowMs + partition.families.estimateRemainingMs(task, BACKFILL_DEVIATIONS);
  let examined = 0;
  for (const reservation of partition.reservations) {
    if (reservation.preemptedTasks.length > 0 || reservation.readyAtMs < endMs) continue;
    for (const [worker, workerPlan] of reservation.plan) {
      examined += 1;
      if (examined > BACKFILL_CANDIDATES) return null;
      const free = reservations.computeFreeCapacity(worker);
      vectors.addTo(free, workerPlan.demand);
      vectors.addTo(free, worker.urgentReserve, -1);
      if (worker.state === 'active' && vectors.fits(demand, free)) return worker;
    }
  }
  return null;
}

/** Starts the next task of the job; false when it fits no worker. */
function placeNextTask(round: Round, job: JobRecord): boolean {
  const task = job.waitingTasks[job.waitingTasks.length - 1];
  if (task === undefined) return false;
  const demand = round.partition.computeDemand(task);
  const worker = round.findWorker(demand, job.failedWorkers);
  if (worker !== null) {
    round.startNext(job, worker, `team ${job.team.name} has the lowest share for its quota`);
    return true;
  }
  const backfillWorker = findBackfillWorker(round, job, demand);
  if (backfillWorker === null) return false;
  round.startNext(job, backfillWorker, 'backfill: expected to end before the reservation is ready');
  return true;
}

/** Explains why a job did not fit, and reserves capacity for it when it has waited long enough. */
function deferJob(round: Round, job: JobRecord): void {
  const { partition, nowMs } = round;
  const task = job.waitingTasks[job.waitingTasks.length - 1];
  if (task === undefined) return;
  const shortage = findResourceShortage(partition, task.demand);
  if (shortage !== null) {
    partition.explain(job, 'no-room', `no worker has enough ${shortage}`, nowMs);
    return;
  }
  partition.explain(job, 'no-room', 'no worker has enough free capacity now', nowMs);
  if (nowMs - job.submittedAtMs >= getAgeingMs(round, task)) reserveForJob(round, job);
}

/**
 * Returns the wait after which the task gets a reservation, ms. Large tasks get one sooner, because small
 * tasks use up free capacity before any worker has enough of it for a large task.
 */
function getAgeingMs(round: Round, task: TaskRecord): number {
  const { ageingMs, largeAgeingMs } = round.partition.limits;
  for (const { capacity } of round.partition.workerTable.capacityClasses.values()) {
    if (vectors.dominantShare(task.demand, capacity) >= LARGE_TASK_SHARE) return largeAgeingMs;
  }
  return ageingMs;
}

/** Reserves capacity for some tasks of the job, within the limits of the team and of the round. */
function reserveForJob(round: Round, job: JobRecord): void {
  const { partition, nowMs } = round;
  const { reservationsPerTeam, reservedWorkersPerMille } = partition.limits;
  const maxReservations = Math.ceil(
    (partition.workerTable.workers.length * reservedWorkersPerMille) / 1_000,
  );
  const remainingReservations = maxReservations - partition.reservations.size;
  const allowedCount = Math.min(
    remainingReservations,
    reservationsPerTeam - job.team.reservationCount,
  );
  let createdCount = 0;
  for (let i = job.waitingTasks.length - 1; i >= 0; i -= 1) {
    if (createdCount >= Math.min(allowedCount, RESERVATIONS_PER_ROUND) || round.isFull()) return;
    const task = job.waitingTasks[i];
    if (task?.reservation !== null) continue;
    round.countSearch(SEARCHES_PER_RESERVATION);
    if (!reservations.reserveForTask(partition, job, task, nowMs)) return;
    createdCount += 1;
  }
}

/** Starts one task of the team's oldest job that fits; false when none does. */
function placeForTeam(round: Round, team: Team): boolean {
  const jobs = team.queue.listOldest(round.partition.limits.jobsPerTeamSearch);
  for (const job of jobs) {
    if (placeNextTask(round, job)) return true;
    if (round.isFull()) return false;
  }
  const oldest = jobs[0];
  if (oldest !== undefined) deferJob(round, oldest);
  return false;
}

/** Returns the team with waiting jobs and the lowest share in relation to its quota, or null. */
function findNextTeam(round: Round, triedTeams: ReadonlySet<Team>): Team | null {
  let next: Team | null = null;
  for (const team of round.partition.teams.values()) {
    if (team.queue.size === 0 || triedTeams.has(team)) continue;
    if (team.blockedAtReleaseCount === round.partition.releaseCount) continue;
    if (next === null || team.shareToQuotaRatio < next.shareToQuotaRatio) next = team;
  }
  return next;
}

/**
 * Places batch work by dominant resource fairness: the team with the lowest share in relation to
 * its quota starts the next task, so a team uses capacity beyond its quota only when no team below
 * it has work that fits.
 */
export function placeBatch(round: Round): void {
  const triedTeams = new Set<Team>();
  while (!round.isFull()) {
    const team = findNextTeam(round, triedTeams);
    if (team === null) return;
    if (placeForTeam(round, team)) continue;
    triedTeams.add(team);
    if (!round.isFull()) team.blockedAtReleaseCount = round.partition.releaseCount;
  }
}
