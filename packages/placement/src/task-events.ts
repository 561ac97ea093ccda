import { lifecycles } from '@acaciahoist/lifecycles';
import type { TaskOutcome } from '@acaciahoist/types/task-outcome';
import type { PartitionState } from './partition-state.js';
import type { JobEnd } from './job-end.js';
import type { TaskRecord } from './task-record.js';
import { vectors } from './vectors.js';
import { workerHealth } from './worker-health.js';

/** A job fails when a task that overloads its worker uses more than this multiple of its demand. */
const MAX_USE_RATIO = 4;

/** Exponential back-off after failures of a task, ms; with jitter, so that tasks do not restart together. */
function computeBackOffMs(partition: PartitionState, task: TaskRecord): number {
  const { backOffMs: firstMs, maxBackOffMs } = partition.limits;
  const delayMs = Math.min(maxBackOffMs, firstMs * 2 ** Math.min(20, task.failureCount));
  return delayMs * (0.5 + 0.5 * partition.nextRandom());
}

/** Makes a task whose run has ended wait for a worker again, after a delay if one is given. */
function requeue(
  partition: PartitionState,
  task: TaskRecord,
  nowMs: number,
  delayMs: number,
): void {
  const job = task.job;
  task.state = lifecycles.task.step(task.state, 'retry');
  task.earliestStartAtMs = nowMs + delayMs;
  task.progressMs = task.checkpointedProgressMs;
  if (job.state === 'running') job.state = lifecycles.job.step(job.state, 'requeue');
  if (delayMs > 0) {
    partition.delayedTasks.push(task.earliestStartAtMs, task);
    if (job.waitingTasks.length === 0)
      partition.explain(job, 'back-off', `${task.failureCount} failures`, nowMs);
  } else {
    job.waitingTasks.push(task);
    partition.enqueue(job);
  }
  if (job.spec.kind === 'gang') restartGang(partition, task);
}

/** Stops the other tasks of a gang, because all its tasks must start together. */
function restartGang(partition: PartitionState, task: TaskRecord): void {
  const job = task.job;
  if (job.isRestarting || job.placedCount === 0) return;
  job.isRestarting = true;
  partition.jobsToStop.push(job);
}

/** Ends a job when its last task has ended; null before. */
function endJobIfDone(
  partition: PartitionState,
  task: TaskRecord,
  nowMs: number,
  wallMs: number,
): JobEnd | null {
  const job = task.job;
  const { dueAtMs } = job.spec;
  const isLate = dueAtMs !== undefined && wallMs > dueAtMs;
  if (job.state === 'stopping') {
    if (job.placedCount > 0) return null;
    const isCompleted = job.completedCount === job.tasks.length;
    if (isCompleted)
      return partition.endJob(job, isLate ? 'late' : 'completed', 'all tasks ended', nowMs);
    const outcome = job.outcomeAfterStop ?? 'cancelled';
    return partition.endJob(job, outcome, job.explanation?.subject ?? outcome, nowMs);
  }
  if (job.endedCount < job.tasks.length) return null;
  return partition.endJob(job, isLate ? 'late' : 'completed', 'all tasks ended', nowMs);
}

/** Counts a task as completed. */
function completeTask(task: TaskRecord): void {
  task.state = lifecycles.task.step(task.state, 'end');
  task.job.endedCount += 1;
  task.job.completedCount += 1;
  task.job.failedWorkers.clear();
}

/**
 * Marks an armed task as started that was started without a decision of this placement: by a predecessor, or by
 * the owner while it could not plan.
 */
function markArmedStarted(
  partition: PartitionState,
  task: TaskRecord,
  nowMs: number,
  wallMs: number,
): void {
  const { job, worker } = task;
  if (task.state !== 'armed' || worker === null) return;
  if (job.state === 'armed') job.state = lifecycles.job.step(job.state, 'disarm');
  const ranMs = Math.max(0, wallMs - (job.spec.startAtMs ?? wallMs));
  partition.markStarted(task, worker, nowMs - ranMs);
}

/** Makes an armed task wait to be armed again. */
function disarmTask(partition: PartitionState, task: TaskRecord): null {
  const job = task.job;
  task.state = lifecycles.task.step(task.state, 'disarm');
  job.waitingTasks.push(task);
  if (job.state === 'armed') job.state = lifecycles.job.step(job.state, 'disarm');
  partition.jobsToArm.push(0, job);
  return null;
}

/** Whether the task may run again after it may have done part of its work. */
function mayRunAgain(task: TaskRecord): boolean {
  const { repeatable, kind } = task.job.spec;
  return repeatable || kind === 'service';
}

/** Requeues a failed task after a back-off, or fails its job when the task may not run again. */
function retryOrFailJob(partition: PartitionState, task: TaskRecord, nowMs: number): JobEnd | null {
  const job = task.job;
  const { jobFailures, taskFailures } = partition.limits;
  if (!mayRunAgain(task)) return partition.endJob(job, 'failed', 'a task failed', nowMs);
  if (job.failedWorkers.size >= jobFailures || task.failureCount >= taskFailures) {
    workerHealth.clearFailures(partition, job);
    const reason = `failed on ${job.failedWorkers.size} workers, ${task.failureCount} times in a row`;
    return partition.endJob(job, 'failed', reason, nowMs);
  }
  requeue(partition, task, nowMs, computeBackOffMs(partition, task));
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
    partition: PartitionState,
    task: TaskRecord,
    outcome: TaskOutcome,
    nowMs: number,
    wallMs: number,
  ): JobEnd | null {
    const isBeforeStartTime = wallMs < (task.job.spec.startAtMs ?? 0);
    if (task.state === 'armed' && outcome === 'lapsed' && isBeforeStartTime && mayRunAgain(task)) {
      taskEvents.releaseWorker(partition, task);
      return disarmTask(partition, task);
    }
    markArmedStarted(partition, task, nowMs, wallMs);
    const job = task.job;
    const worker = task.worker;
    const ranMs = nowMs - task.startedAtMs;
    const causedOveruse = worker?.overuse?.task === task;
    taskEvents.releaseWorker(partition, task);
    if (worker !== null && outcome === 'completed') workerHealth.recordSuccess(partition, worker);
    const isStable = job.spec.kind === 'service' && ranMs >= partition.limits.stableServiceMs;
    if (isStable) {
      task.failureCount = 0;
      job.failedWorkers.clear();
    }
    if (outcome === 'failed') {
      task.failureCount += 1;
      if (worker !== null) workerHealth.recordFailure(partition, worker, job, nowMs);
    }
    if (outcome === 'completed' && job.spec.kind !== 'service') {
      partition.families.learnRunTime(task, ranMs + task.checkpointedProgressMs);
      completeTask(task);
      return endJobIfDone(partition, task, nowMs, wallMs);
    }
    if (job.state === 'stopping') {
      task.state = lifecycles.task.step(task.state, 'end');
      return endJobIfDone(partition, task, nowMs, wallMs);
    }
    switch (outcome) {
      case 'failed':
        return retryOrFailJob(partition, task, nowMs);
      case 'checkpointed':
        if (!mayRunAgain(task)) return taskEvents.recordLoss(partition, task, nowMs);
        task.checkpointedProgressMs = Math.max(task.checkpointedProgressMs, task.progressMs);
        task.hasCheckpoint = true;
        requeue(partition, task, nowMs, 0);
        return null;
      case 'stopped':
        if (causedOveruse && exceedsMaxUse(task)) {
          const reason = `uses more than ${MAX_USE_RATIO} times the declared size`;
          return partition.endJob(job, 'failed', reason, nowMs);
        }
        if (!mayRunAgain(task)) {
          const jobOutcome = causedOveruse ? 'failed' : 'unknown';
          return partition.endJob(job, jobOutcome, 'stopped at the worker', nowMs);
        }
        requeue(partition, task, nowMs, causedOveruse ? computeBackOffMs(partition, task) : 0);
        return null;
      case 'refused':
        requeue(partition, task, nowMs, partition.limits.backOffMs);
        return null;
      case 'lapsed':
        return taskEvents.recordLoss(partition, task, nowMs);
      case 'completed':
        // A service task that exits by itself starts again after a back-off.
        task.failureCount += 1;
        requeue(partition, task, nowMs, computeBackOffMs(partition, task));
        return null;
    }
  },

  /** Applies the loss of a run, which may have done part of its work: it lapsed or its worker was removed. */
  recordLoss(partition: PartitionState, task: TaskRecord, nowMs: number): JobEnd | null {
    if (!mayRunAgain(task)) {
      return partition.endJob(task.job, 'unknown', 'worker lost during a run', nowMs);
    }
    requeue(partition, task, nowMs, 0);
    return null;
  },

  /** Applies the removal of the task's worker, which certainly runs nothing any more. */
  recordWorkerRemoval(partition: PartitionState, task: TaskRecord, nowMs: number): JobEnd | null {
    const job = task.job;
    const wasArmed = task.state === 'armed';
    taskEvents.releaseWorker(partition, task);
    if (wasArmed) return disarmTask(partition, task);
    if (job.state === 'stopping') {
      task.state = lifecycles.task.step(task.state, 'end');
      return endJobIfDone(partition, task, nowMs, 0);
    }
    return taskEvents.recordLoss(partition, task, nowMs);
  },

  /** Applies a start that the worker certainly did not carry out. */
  recordRefusal(partition: PartitionState, task: TaskRecord, nowMs: number): JobEnd | null {
    const wasArmed = task.state === 'armed';
    taskEvents.releaseWorker(partition, task);
    if (wasArmed) return disarmTask(partition, task);
    if (task.job.state === 'stopping') {
      task.state = lifecycles.task.step(task.state, 'end');
      return endJobIfDone(partition, task, nowMs, 0);
    }
    requeue(partition, task, nowMs, partition.limits.backOffMs);
    return null;
  },

  /** Frees the task's capacity at its worker and updates the readiness of a service. */
  releaseWorker(partition: PartitionState, task: TaskRecord): void {
    const job = task.job;
    const wasReady = job.confirmedCount === job.tasks.length;
    if (task.isStartConfirmed) job.confirmedCount -= 1;
    task.isStartConfirmed = false;
    if (job.spec.kind === 'service' && wasReady && job.confirmedCount < job.tasks.length) {
      const family = job.spec.family;
      partition.readyServiceCounts.set(family, (partition.readyServiceCounts.get(family) ?? 1) - 1);
    }
    partition.deallocate(task);
    if (job.placedCount === 0) job.isRestarting = false;
  },

  /** Applies the worker's confirmation that the run started. */
  confirmStart(partition: PartitionState, task: TaskRecord): void {
    if (task.state !== 'starting') return;
    const job = task.job;
    task.state = lifecycles.task.step(task.state, 'confirm');
    task.isStartConfirmed = true;
    job.confirmedCount += 1;
    if (job.spec.kind !== 'service' || job.confirmedCount < job.tasks.length) return;
    const family = job.spec.family;
    partition.readyServiceCounts.set(family, (partition.readyServiceCounts.get(family) ?? 0) + 1);
    partition.releaseCount += 1;
  },
};
