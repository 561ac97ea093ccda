import { lifecycles } from '@acaciahoist/lifecycles';
import type { Decision } from './decision.js';
import type { JobRecord } from './job-record.js';
import type { Round } from './round.js';
import { vectors } from './vectors.js';
import type { WorkerRecord } from './worker-record.js';

/** Delay before the next attempt to arm a job that did not fit, ms of wall-clock time. */
const ARM_RETRY_MS = 1_000;

/** Allocates capacity to all tasks of the job ahead of its start time, or to none. */
function armJob(round: Round, job: JobRecord): boolean {
  const { partition } = round;
  const assignments: { worker: WorkerRecord; demand: number[] }[] = [];
  for (const task of job.waitingTasks) {
    const demand = partition.computeDemand(task);
    const worker = round.findWorker(demand);
    if (worker === null) break;
    partition.adjustReserved(worker, demand, 1);
    assignments.push({ worker, demand });
  }
  for (const { worker, demand } of assignments) partition.adjustReserved(worker, demand, -1);
  if (assignments.length < job.waitingTasks.length) return false;
  job.waitingTasks.forEach((task, i) => {
    const worker = assignments[i]?.worker;
    if (worker === undefined) return;
    partition.allocate(task, worker);
    task.state = lifecycles.task.step(task.state, 'arm');
    const decision: Decision = {
      type: 'arm',
      jobId: job.id,
      taskId: task.id,
      group: task.group,
      worker: worker.address,
      resources: partition.resourceKinds.toResources(task.allocation),
      reason: 'reserved ahead of its start time',
    };
    round.decisions.push(decision);
  });
  job.waitingTasks = [];
  job.state = lifecycles.job.step(job.state, 'arm');
  partition.explain(job, 'armed', assignments[0]?.worker.address ?? '', round.nowMs);
  partition.armedJobs.push(job.spec.startAtMs ?? 0, job);
  return true;
}

/**
 * Whether the tasks of the worker use more than its capacity. Usage that was reported after a job was armed
 * can cause this; the start of the job then waits.
 */
function isOverloaded(worker: WorkerRecord): boolean {
  return !vectors.fits(worker.used, worker.capacity);
}

/** Starts the armed jobs whose start time has passed, except those on overloaded workers. */
function startDueJobs(round: Round): void {
  const { partition, wallMs } = round;
  const delayedJobs: JobRecord[] = [];
  for (;;) {
    const job = partition.armedJobs.popDue(wallMs);
    if (job === null) break;
    if (job.state !== 'armed') continue;
    if (job.tasks.some((task) => task.worker !== null && isOverloaded(task.worker))) {
      delayedJobs.push(job);
      continue;
    }
    for (const task of job.tasks) {
      if (task.state === 'armed' && task.worker !== null) {
        round.start(task, task.worker, 'its start time has passed');
      }
    }
  }
  for (const job of delayedJobs) partition.armedJobs.push(job.spec.startAtMs ?? 0, job);
}

/** Starts armed jobs whose start time has passed and arms jobs whose start time is near. */
export function placeScheduled(round: Round): void {
  const { partition, wallMs } = round;
  startDueJobs(round);
  const jobsToRetry: JobRecord[] = [];
  while (!round.isFull()) {
    const job = partition.jobsToArm.popDue(wallMs);
    if (job === null) break;
    if (job.state !== 'waiting' || job.waitingTasks.length === 0) continue;
    // A job that is not armed by its start time becomes urgent work, for which other work may be checkpointed.
    if ((job.spec.startAtMs ?? 0) <= wallMs) partition.enqueue(job);
    else if (!armJob(round, job)) jobsToRetry.push(job);
  }
  for (const job of jobsToRetry) partition.jobsToArm.push(wallMs + ARM_RETRY_MS, job);
  startDueJobs(round);
}
