import { lifecycles } from '@acaciahoist/lifecycles';
import type { TaskOutcome } from '@acaciahoist/types/task-outcome';
import type { Cell } from './cell.js';
import type { JobEnd } from './job-end.js';
import type { TaskRecord } from './task-record.js';
import { vectors } from './vectors.js';
import { workerHealth } from './worker-health.js';

/** A job fails when a task that overloads its worker uses more than this multiple of its demand. */
const MAX_USE_RATIO = 4;

/** Exponential back-off after failures of a task, ms; with jitter, so that tasks do not restart together. */
function computeBackOffMs(cell: Cell, task: TaskRecord): number {
  const { backOffMs: firstMs, maxBackOffMs } = cell.limits;
  const delayMs = Math.min(maxBackOffMs, firstMs * 2 ** Math.min(20, task.failureCount));
  return delayMs * (0.5 + 0.5 * cell.nextRandom());
}

/** Makes a task whose run has ended wait for a worker again, after a delay if one is given. */
function requeue(cell: Cell, task: TaskRecord, nowMs: number, delayMs: number): void {
  const job = task.job;
  task.state = lifecycles.task.step(task.state, 'retry');
  task.earliestStartAtMs = nowMs + delayMs;
  task.progressMs = task.checkpointedProgressMs;
  if (job.state === 'running') job.state = lifecycles.job.step(job.state, 'requeue');
  if (delayMs > 0) {
    cell.delayedTasks.push(task.earliestStartAtMs, task);
    if (job.waitingTasks.length === 0)
      cell.explain(job, 'back-off', `${task.failureCount} failures`, nowMs);
  } else {
    job.waitingTasks.push(task);
    cell.enqueue(job);
  }
  if (job.spec.kind === 'gang') restartGang(cell, task);
}

/** Stops the other tasks of a gang, because all its tasks must start together. */
function restartGang(cell: Cell, task: TaskRecord): void {
  const job = task.job;
  if (job.isRestarting || job.placedCount === 0) return;
  job.isRestarting = true;
  cell.jobsToStop.push(job);
}

/** Ends a job when its last task has ended; null before. */
function endJobIfDone(cell: Cell, task: TaskRecord, nowMs: number, wallMs: number): JobEnd | null {
  const job = task.job;
  const { dueAtMs } = job.spec;
  const isLate = dueAtMs !== undefined && wallMs > dueAtMs;
  if (job.state === 'stopping') {
    if (job.placedCount > 0) return null;
    const isCompleted = job.completedCount === job.tasks.length;
    if (isCompleted)
      return cell.endJob(job, isLate ? 'late' : 'completed', 'all tasks ended', nowMs);
    const outcome = job.outcomeAfterStop ?? 'cancelled';
    return cell.endJob(job, outcome, job.explanation?.subject ?? outcome, nowMs);
  }
  if (job.endedCount < job.tasks.length) return null;
  return cell.endJob(job, isLate ? 'late' : 'completed', 'all tasks ended', nowMs);
}

/** Counts a task as completed. */
function completeTask(task: TaskRecord): void {
  task.state = lifecycles.task.step(task.state, 'end');
  task.job.endedCount += 1;
  task.job.completedCount += 1;
  task.job.failedWorkers.clear();
}

/** Makes an armed task whose worker was removed wait to be armed elsewhere; it never ran. */
function disarmTask(cell: Cell, task: TaskRecord): null {
  const job = task.job;
  task.state = lifecycles.task.step(task.state, 'disarm');
  job.waitingTasks.push(task);
  if (job.state === 'armed') job.state = lifecycles.job.step(job.state, 'disarm');
  cell.jobsToArm.push(0, job);
  return null;
}

/** Whether the task may run again after it may have done part of its work. */
function mayRunAgain(task: TaskRecord): boolean {
  const { repeatable, kind } = task.job.spec;
  return repeatable || kind === 'service';
}

/** Requeues a failed task after a back-off, or fails its job when the task may not run again. */
function retryOrFailJob(cell: Cell, task: TaskRecord, nowMs: number): JobEnd | null {
  const job = task.job;
  const { jobFailures, taskFailures } = cell.limits;
  if (!mayRunAgain(task)) return cell.endJob(job, 'failed', 'a task failed', nowMs);
  if (job.failedWorkers.size >= jobFailures || task.failureCount >= taskFailures) {
    workerHealth.clearFailures(cell, job);
    const reason = `failed on ${job.failedWorkers.size} workers, ${task.failureCount} times in a row`;
    return cell.endJob(job, 'failed', reason, nowMs);
  }
  requeue(cell, task, nowMs, computeBackOffMs(cell, task));
  return null;
}

function exceedsMaxUse(task: TaskRecord): boolean {
  const observed = task.observedUsage;
  if (observed === null) return false;
  return (
    vectors.indexOfShortage(
      observed,
      task.demand.map((amount) => amount * MAX_USE_RATIO),
    ) >= 0
  );
}

/** Applies events of tasks at their workers to the state of tasks and jobs. */
export const taskEvents = {
  /** Applies the end of a run with the given outcome. */
  recordEnd(
    cell: Cell,
    task: TaskRecord,
    outcome: TaskOutcome,
    nowMs: number,
    wallMs: number,
  ): JobEnd | null {
    const job = task.job;
    const worker = task.worker;
    const ranMs = nowMs - task.startedAtMs;
    const causedOveruse = worker?.overuse?.task === task;
    taskEvents.releaseWorker(cell, task);
    if (worker !== null && outcome === 'completed') workerHealth.recordSuccess(cell, worker);
    const isStable = job.spec.kind === 'service' && ranMs >= cell.limits.stableServiceMs;
    if (isStable) {
      task.failureCount = 0;
      job.failedWorkers.clear();
    }
    if (outcome === 'failed') {
      task.failureCount += 1;
      if (worker !== null) workerHealth.recordFailure(cell, worker, job, nowMs);
    }
    if (outcome === 'completed' && job.spec.kind !== 'service') {
      cell.families.learnRunTime(task, ranMs + task.checkpointedProgressMs);
      completeTask(task);
      return endJobIfDone(cell, task, nowMs, wallMs);
    }
    if (job.state === 'stopping') {
      task.state = lifecycles.task.step(task.state, 'end');
      return endJobIfDone(cell, task, nowMs, wallMs);
    }
    switch (outcome) {
      case 'failed':
        return retryOrFailJob(cell, task, nowMs);
      case 'checkpointed':
        if (!mayRunAgain(task)) return taskEvents.recordLoss(cell, task, nowMs);
        task.checkpointedProgressMs = Math.max(task.checkpointedProgressMs, task.progressMs);
        task.hasCheckpoint = true;
        requeue(cell, task, nowMs, 0);
        return null;
      case 'stopped':
        if (causedOveruse && exceedsMaxUse(task)) {
          const reason = `uses more than ${MAX_USE_RATIO} times the declared size`;
          return cell.endJob(job, 'failed', reason, nowMs);
        }
        if (!mayRunAgain(task)) {
          const jobOutcome = causedOveruse ? 'failed' : 'unknown';
          return cell.endJob(job, jobOutcome, 'stopped at the worker', nowMs);
        }
        requeue(cell, task, nowMs, causedOveruse ? computeBackOffMs(cell, task) : 0);
        return null;
      case 'refused':
        requeue(cell, task, nowMs, cell.limits.backOffMs);
        return null;
      case 'lapsed':
        return taskEvents.recordLoss(cell, task, nowMs);
      case 'completed':
        // A service task that exits by itself starts again after a back-off.
        task.failureCount += 1;
        requeue(cell, task, nowMs, computeBackOffMs(cell, task));
        return null;
    }
  },

  /** Applies the loss of a run, which may have done part of its work: it lapsed or its worker was removed. */
  recordLoss(cell: Cell, task: TaskRecord, nowMs: number): JobEnd | null {
    if (!mayRunAgain(task)) {
      return cell.endJob(task.job, 'unknown', 'worker lost during a run', nowMs);
    }
    requeue(cell, task, nowMs, 0);
    return null;
  },

  /** Applies the removal of the task's worker, which certainly runs nothing any more. */
  recordWorkerRemoval(cell: Cell, task: TaskRecord, nowMs: number): JobEnd | null {
    const job = task.job;
    const wasArmed = task.state === 'armed';
    taskEvents.releaseWorker(cell, task);
    if (wasArmed) return disarmTask(cell, task);
    if (job.state === 'stopping') {
      task.state = lifecycles.task.step(task.state, 'end');
      return endJobIfDone(cell, task, nowMs, 0);
    }
    return taskEvents.recordLoss(cell, task, nowMs);
  },

  /** Applies a start that the worker certainly did not carry out. */
  recordRefusal(cell: Cell, task: TaskRecord, nowMs: number): JobEnd | null {
    taskEvents.releaseWorker(cell, task);
    if (task.job.state === 'stopping') {
      task.state = lifecycles.task.step(task.state, 'end');
      return endJobIfDone(cell, task, nowMs, 0);
    }
    requeue(cell, task, nowMs, cell.limits.backOffMs);
    return null;
  },

  /** Frees the task's capacity at its worker and updates the readiness of a service. */
  releaseWorker(cell: Cell, task: TaskRecord): void {
    const job = task.job;
    const wasReady = job.confirmedCount === job.tasks.length;
    if (task.isStartConfirmed) job.confirmedCount -= 1;
    task.isStartConfirmed = false;
    if (job.spec.kind === 'service' && wasReady && job.confirmedCount < job.tasks.length) {
      const family = job.spec.family;
      cell.readyServiceCounts.set(family, (cell.readyServiceCounts.get(family) ?? 1) - 1);
    }
    cell.deallocate(task);
    if (job.placedCount === 0) job.isRestarting = false;
  },

  /** Applies the worker's confirmation that the run started. */
  confirmStart(cell: Cell, task: TaskRecord): void {
    if (task.state !== 'starting') return;
    const job = task.job;
    task.state = lifecycles.task.step(task.state, 'confirm');
    task.isStartConfirmed = true;
    job.confirmedCount += 1;
    if (job.spec.kind !== 'service' || job.confirmedCount < job.tasks.length) return;
    const family = job.spec.family;
    cell.readyServiceCounts.set(family, (cell.readyServiceCounts.get(family) ?? 0) + 1);
    cell.releaseCount += 1;
  },
};
