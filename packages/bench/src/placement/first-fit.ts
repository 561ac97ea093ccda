import type { JobRecord } from '@acaciahoist/placement/job-record';
import type { Policy } from '@acaciahoist/placement/policy';
import type { Round } from '@acaciahoist/placement/round';
import type { TaskRecord } from '@acaciahoist/placement/task-record';
import { vectors } from '@acaciahoist/placement/vectors';
import type { WorkerRecord } from '@acaciahoist/placement/worker-record';

/** How many of the oldest jobs a round considers; it skips those that do not fit, which favours this baseline. */
const CONSIDERED_JOBS = 100;

function findFirstFit(round: Round, need: readonly number[]): WorkerRecord | null {
  round.countSearch();
  for (const worker of round.partition.workerTable.workers) {
    if (round.partition.workerTable.accepts(worker) && vectors.fits(need, worker.free))
      return worker;
  }
  return null;
}

function placeGang(round: Round, job: JobRecord): void {
  const { partition } = round;
  const chosen: { task: TaskRecord; worker: WorkerRecord; need: number[] }[] = [];
  for (const task of job.waitingTasks) {
    const need = partition.computeDemand(task);
    const worker = findFirstFit(round, need);
    if (worker === null) break;
    partition.adjustReserved(worker, need, 1);
    chosen.push({ task, worker, need });
  }
  for (const { worker, need } of chosen) partition.adjustReserved(worker, need, -1);
  if (chosen.length < job.waitingTasks.length) return;
  job.waitingTasks = [];
  for (const { task, worker } of chosen) round.start(task, worker, 'first fit');
}

function placeJob(round: Round, job: JobRecord): void {
  if (job.spec.kind === 'gang') {
    placeGang(round, job);
    return;
  }
  for (;;) {
    const task = job.waitingTasks[job.waitingTasks.length - 1];
    if (task === undefined) return;
    const worker = findFirstFit(round, round.partition.computeDemand(task));
    if (worker === null) return;
    round.startNext(job, worker, 'first fit');
  }
}

function placeInOrder(round: Round): void {
  const { partition } = round;
  const queues = [partition.urgentQueue, partition.serviceQueue, partition.gangQueue];
  for (const team of partition.teams.values()) queues.push(team.queue);
  const jobs = queues.flatMap((queue) => queue.listOldest(CONSIDERED_JOBS));
  jobs.sort((left, right) => left.submittedAtMs - right.submittedAtMs);
  for (const job of jobs.slice(0, CONSIDERED_JOBS)) {
    if (round.isFull()) return;
    placeJob(round, job);
  }
}

function placeNothing(): void {
  // `placeInOrder` places the work of every kind, so the steps of the other kinds have nothing to do.
}

/** Baseline: starts all work in order of arrival, each task at the first worker on which it fits. */
export const firstFitPolicy: Policy = {
  scheduled: (round) => {
    const { jobsToArm: toArm } = round.partition;
    for (let job = toArm.popDue(round.wallMs); job !== null; job = toArm.popDue(round.wallMs)) {
      if ((job.spec.startAtMs ?? 0) <= round.wallMs) round.partition.enqueue(job);
      else toArm.push(job.spec.startAtMs ?? 0, job);
    }
  },
  urgent: placeNothing,
  service: placeNothing,
  gang: placeNothing,
  batch: placeInOrder,
};
