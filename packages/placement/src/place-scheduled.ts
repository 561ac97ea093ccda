import { lifecycles } from '@acaciahoist/lifecycles';
import type { Decision } from './decision.js';
import type { JobRecord } from './job-record.js';
import type { Round } from './round.js';
import type { TaskRecord } from './task-record.js';
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
 * Whether the armed tasks have to wait: for a worker that is overloaded by usage that was reported after they were
 * armed, or for the tasks of a gang that are to be armed again because they lost their workers.
 */
function mustWait(job: JobRecord, armedTasks: readonly TaskRecord[]): boolean {
  if (job.spec.kind === 'gang' && job.waitingTasks.length > 0) return true;
  return armedTasks.some((task) => task.worker?.isOverloaded === true);
}

/**
 * Starts the armed tasks of jobs whose start time has passed. The other tasks of a job may wait, for example
 * because their workers were removed.
 */
function startDueJobs(round: Round): void {
  const { partition, wallMs } = round;
  const delayedJobs: JobRecord[] = [];
  for (;;) {
    const job = partition.armedJobs.popDue(wallMs);
    if (job === null) break;
    const armedTasks = job.tasks.filter((task) => task.state === 'armed');
    if (armedTasks.length === 0) continue;
    if (mustWait(job, armedTasks)) {
      delayedJobs.push(job);
      continue;
    }
    for (const task of armedTasks) {
      if (task.worker !== null) round.start(task, task.worker, 'its start time has passed');
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
    const isGangWithArmedTask =
      job.spec.kind === 'gang' && job.tasks.some((task) => task.state === 'armed');
    const isDue = (job.spec.startAtMs ?? 0) <= wallMs;
    // Tasks that are not armed by the start time become urgent work, for which other work may be checkpointed.
    // The tasks of a gang start together, so they are armed until all are.
    if (isDue && !isGangWithArmedTask) partition.enqueue(job);
    else if (!armJob(round, job)) jobsToRetry.push(job);
  }
  for (const job of jobsToRetry) {
    const startAtMs = job.spec.startAtMs ?? 0;
    const retryAtMs = wallMs + ARM_RETRY_MS;
    partition.jobsToArm.push(startAtMs > wallMs ? Math.min(startAtMs, retryAtMs) : retryAtMs, job);
  }
  startDueJobs(round);
}
