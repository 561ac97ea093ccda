import type { PartitionState } from './partition-state.js';
import { findLimitingResource } from './find-limiting-resource.js';
import { drainWorkers } from './drain-workers.js';
import type { Policy } from './policy.js';
import { limitOveruse } from './limit-overuse.js';
import { Round } from './round.js';
import { stopTasks } from './stop-tasks.js';
import { workerHealth } from './worker-health.js';

/** Moves tasks whose back-off has ended to the waiting tasks of their jobs. */
function requeueAfterBackOff(round: Round): void {
  const { partition, nowMs } = round;
  for (;;) {
    const task = partition.delayedTasks.popDue(nowMs);
    if (task === null) return;
    const job = task.job;
    if (job.state !== 'waiting' || task.state !== 'waiting') continue;
    job.waitingTasks.push(task);
    partition.enqueue(job);
  }
}

/** Refuses jobs that were accepted before any capacity was known and that can never run. */
function refuseNeverRunnableJobs(round: Round): void {
  const { partition, nowMs } = round;
  if (partition.uncheckedJobs.length === 0 || partition.firstWorkerAtMs < 0) return;
  if (nowMs - partition.firstWorkerAtMs < partition.limits.neverRunnableCheckDelayMs) return;
  const jobs = partition.uncheckedJobs;
  partition.uncheckedJobs = [];
  for (const job of jobs) {
    const limitingResource = findLimitingResource(partition, job.spec);
    if (limitingResource !== null && job.state === 'waiting' && job.placedCount === 0) {
      round.refuseJob(job, `no worker has enough ${limitingResource}`);
    }
  }
}

/** Runs one planning round: first frees capacity, then places each kind of work in policy order. */
export function runRound(
  partition: PartitionState,
  policy: Policy,
  nowMs: number,
  wallMs: number,
): Round {
  const round = Round.create(partition, nowMs, wallMs);
  stopTasks(round);
  drainWorkers(round);
  limitOveruse(round);
  workerHealth.updateProbes(partition, nowMs);
  requeueAfterBackOff(round);
  refuseNeverRunnableJobs(round);
  policy.scheduled(round);
  policy.urgent(round);
  policy.service(round);
  policy.gang(round);
  policy.batch(round);
  return round;
}
