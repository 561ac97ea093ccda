import type { JobRecord } from './job-record.js';
import { reservations } from './reservations.js';
import type { Round } from './round.js';
import { vectors } from './vectors.js';
import type { WorkerRecord } from './worker-record.js';

/** Services tried in one round, and racks and workers per rack examined for one task. */
const JOBS_PER_ROUND = 16;
const RACKS_PER_TASK = 24;
const WORKERS_PER_RACK = 8;

/** Weights of a task of the same job in the region, data centre and rack of a worker. */
const DOMAIN_WEIGHTS = [1e6, 1e3, 1];

/** Returns the weighted number of tasks of the job in the failure domains of the worker. */
function computeCrowding(job: JobRecord, worker: WorkerRecord): number {
  let score = 0;
  worker.domains.forEach((name, i) => {
    score += (DOMAIN_WEIGHTS[i] ?? 0) * (job.taskCountByDomain.get(name) ?? 0);
  });
  return score;
}

/**
 * Returns a fitting worker of the sampled rack with the fewest tasks of the job. When no sampled rack has
 * one, returns any fitting worker, or null.
 */
function findSpreadWorker(
  round: Round,
  job: JobRecord,
  demand: readonly number[],
): WorkerRecord | null {
  const { rackOrder, workersByRack } = round.partition.workerTable;
  const offset = Math.floor(round.partition.nextRandom() * rackOrder.length);
  let best: WorkerRecord | null = null;
  let bestScore = Infinity;
  round.countSearch();
  for (let i = 0; i < Math.min(RACKS_PER_TASK, rackOrder.length); i += 1) {
    const members = workersByRack.get(rackOrder[(offset + i) % rackOrder.length] ?? '') ?? [];
    const firstMember = members[0];
    if (firstMember === undefined || computeCrowding(job, firstMember) >= bestScore) continue;
    const startIndex = Math.floor(round.partition.nextRandom() * members.length);
    for (let k = 0; k < Math.min(WORKERS_PER_RACK, members.length); k += 1) {
      const worker = members[(startIndex + k) % members.length];
      if (worker === undefined || !round.partition.workerTable.accepts(worker)) continue;
      if (!vectors.fits(demand, worker.free) || job.failedWorkers.has(worker.address)) continue;
      best = worker;
      bestScore = computeCrowding(job, worker);
      break;
    }
  }
  return best ?? round.findWorker(demand, job.failedWorkers);
}

/** Returns the first service that must run before this one and does not, or null. */
function findMissingDependency(round: Round, job: JobRecord): string | null {
  const names = job.spec.dependsOn ?? [];
  return names.find((name) => (round.partition.readyServiceCounts.get(name) ?? 0) === 0) ?? null;
}

/** Starts the waiting tasks of a service up to the first that fits no worker. */
function placeJob(round: Round, job: JobRecord): void {
  const { partition, nowMs } = round;
  const missingDependency = findMissingDependency(round, job);
  if (missingDependency !== null) {
    partition.explain(job, 'dependency', missingDependency, nowMs);
    return;
  }
  while (!round.isFull()) {
    const task = job.waitingTasks[job.waitingTasks.length - 1];
    if (task === undefined) return;
    const worker = findSpreadWorker(round, job, partition.computeDemand(task));
    if (worker === null) {
      partition.explain(job, 'no-room', 'no worker has enough free capacity now', nowMs);
      const hasAged = nowMs - job.submittedAtMs >= partition.limits.ageingMs;
      if (hasAged && task.reservation === null)
        reservations.reserveForTask(partition, job, task, nowMs);
      return;
    }
    round.startNext(job, worker, 'spread over racks');
  }
}

/** For each service whose tasks all run, stops one of the tasks that are to be replaced. */
function replaceTasks(round: Round): void {
  for (const job of round.partition.servicesToReplace) {
    if (job.state === 'ended') round.partition.servicesToReplace.delete(job);
    if (job.confirmedCount < job.tasks.length) continue;
    const outdatedRun = job.tasksToReplace.pop();
    if (outdatedRun === undefined) {
      round.partition.servicesToReplace.delete(job);
      continue;
    }
    const { task, taskId } = outdatedRun;
    // Another id shows that the task has been started again since, with the new resources.
    if (task.id !== taskId) continue;
    round.requestTaskEnd(task, 'stop', 'replaced: one task of the service at a time');
  }
}

/**
 * Places services after the services that they depend on, spread over failure domains. Tasks are
 * replaced one at a time.
 */
export function placeServices(round: Round): void {
  replaceTasks(round);
  for (const job of round.partition.serviceQueue.listOldest(JOBS_PER_ROUND)) {
    if (round.isFull()) return;
    if (job.blockedAtReleaseCount === round.partition.releaseCount) continue;
    placeJob(round, job);
    if (job.waitingTasks.length > 0 && !round.isFull())
      job.blockedAtReleaseCount = round.partition.releaseCount;
  }
}
