import { Failure } from '@acaciahoist/errors';
import { lifecycles } from '@acaciahoist/lifecycles';
import { err, ok } from 'true-myth/result';
import type { Result } from 'true-myth/result';
import type { AdoptedTask } from './adopted-task.js';
import type { PartitionState } from './partition-state.js';
import type { JobRecord } from './job-record.js';
import { taskEvents } from './task-events.js';
import type { TaskRecord } from './task-record.js';

/** End of a task id: group, index and run number. */
const TASK_ID_SUFFIX = /\/(\d+)\.(\d+)\.(\d+)$/;

function findTask(job: JobRecord, taskId: string): { task: TaskRecord; runNumber: number } | null {
  const [, group, index, runNumber] = TASK_ID_SUFFIX.exec(taskId) ?? [];
  if (runNumber === undefined || !taskId.startsWith(`${job.id}/`)) return null;
  const task = job.tasks.find(
    (candidate) => candidate.group === Number(group) && candidate.index === Number(index),
  );
  return task === undefined ? null : { task, runNumber: Number(runNumber) };
}

/** Removes a task from the waiting tasks of its job, and the job from its queue if no task waits or it is a gang. */
function dequeue(partition: PartitionState, task: TaskRecord): void {
  const job = task.job;
  const position = job.waitingTasks.lastIndexOf(task);
  if (position >= 0) job.waitingTasks.splice(position, 1);
  if (job.waitingTasks.length === 0 || job.spec.kind === 'gang')
    partition.getQueue(job).remove(job);
}

/** Records a run that has ended, so that its id is not used again. */
function recordEndedRun(
  partition: PartitionState,
  task: TaskRecord,
  runNumber: number,
  adopted: AdoptedTask,
): void {
  task.runNumber = Math.max(task.runNumber, runNumber);
  if (adopted.outcome === 'checkpointed') {
    task.hasCheckpoint = true;
    task.checkpointedProgressMs = Math.max(task.checkpointedProgressMs, adopted.progressMs ?? 0);
    task.progressMs = task.checkpointedProgressMs;
  }
  if (adopted.outcome !== 'completed' || task.job.spec.kind === 'service') return;
  dequeue(partition, task);
  task.state = lifecycles.task.step(task.state, 'end');
  task.job.endedCount += 1;
  task.job.completedCount += 1;
}

/**
 * Sets one task of a restored job to the state that the journal of a predecessor or the worker gives.
 */
export function adoptTask(
  partition: PartitionState,
  adopted: AdoptedTask,
  nowMs: number,
): Result<void, Failure> {
  const job = partition.jobs.get(adopted.jobId);
  if (job === undefined)
    return err(Failure.create('not-found', `job ${adopted.jobId} does not exist`));
  const match = findTask(job, adopted.taskId);
  if (match === null) {
    return err(Failure.create('bad-request', `job ${job.id} has no task ${adopted.taskId}`));
  }
  const { task, runNumber } = match;
  if (adopted.state === 'ended') {
    recordEndedRun(partition, task, runNumber, adopted);
    return ok(undefined);
  }
  const worker = partition.workerTable.byAddress.get(adopted.worker);
  if (worker === undefined) {
    return err(
      Failure.create('not-found', `worker ${adopted.worker} does not exist; add it first`),
    );
  }
  if (task.worker !== null) {
    return err(
      Failure.create(
        'bad-request',
        `task ${task.id} already has capacity at worker ${task.worker.address}`,
      ),
    );
  }
  dequeue(partition, task);
  task.runNumber = runNumber - 1;
  task.progressMs = adopted.progressMs ?? 0;
  partition.allocate(task, worker);
  partition.explain(job, 'adopted', worker.address, nowMs);
  const isComplete = job.placedCount + job.endedCount === job.tasks.length;
  if (adopted.state === 'armed') {
    task.state = lifecycles.task.step(task.state, 'arm');
    partition.armedJobs.push(job.spec.startAtMs ?? 0, job);
    // The other tasks are armed in the next rounds; for a gang that is due, no queue holds them.
    if (job.waitingTasks.length > 0) partition.jobsToArm.push(0, job);
    else if (job.state === 'waiting') job.state = lifecycles.job.step(job.state, 'arm');
    return ok(undefined);
  }
  partition.markStarted(task, worker, adopted.startedAtMs ?? nowMs);
  if (adopted.state === 'running') taskEvents.confirmStart(partition, task);
  job.startedAtMs = adopted.startedAtMs ?? nowMs;
  if (isComplete && job.state !== 'running') job.state = lifecycles.job.step(job.state, 'run');
  return ok(undefined);
}
