import type { JobRecord } from '@acaciahoist/placement/job-record';
import type { JobQueue } from '@acaciahoist/placement/job-queue';
import type { Policy } from '@acaciahoist/placement/policy';
import type { Round } from '@acaciahoist/placement/round';
import type { TaskRecord } from '@acaciahoist/placement/task-record';
import type { Team } from '@acaciahoist/placement/team';
import type { WorkerRecord } from '@acaciahoist/placement/worker-record';
import { firstFitPolicy } from './first-fit.js';

/** How many of the oldest jobs of a queue a round considers. */
const CONSIDERED_JOBS = 8;

function placeTasks(round: Round, queue: JobQueue): void {
  for (const job of queue.listOldest(CONSIDERED_JOBS)) {
    while (job.waitingTasks.length > 0 && !round.isFull()) if (!placeTask(round, job)) break;
  }
}

function placeTask(round: Round, job: JobRecord): boolean {
  const task = job.waitingTasks[job.waitingTasks.length - 1];
  const worker = task === undefined ? null : round.findWorker(round.partition.computeDemand(task));
  if (worker === null) return false;
  round.startNext(job, worker, 'tightest fit');
  return true;
}

/** Starts all tasks of a gang or none, without a reservation. */
function placeGangs(round: Round): void {
  const { partition } = round;
  for (const job of partition.gangQueue.listOldest(CONSIDERED_JOBS)) {
    const chosen: { task: TaskRecord; worker: WorkerRecord; need: number[] }[] = [];
    for (const task of job.waitingTasks) {
      const need = partition.computeDemand(task);
      const worker = partition.workerTable.find(need, () => 0);
      if (worker === null) break;
      partition.adjustReserved(worker, need, 1);
      chosen.push({ task, worker, need });
    }
    for (const { worker, need } of chosen) partition.adjustReserved(worker, need, -1);
    if (chosen.length < job.waitingTasks.length) continue;
    job.waitingTasks = [];
    for (const { task, worker } of chosen) round.start(task, worker, 'the gang fits');
  }
}

/** Repeatedly lets the team with the lowest share in relation to its quota start its oldest fitting job. */
function placeFairly(round: Round): void {
  const tried = new Set<Team>();
  while (!round.isFull()) {
    let next: Team | null = null;
    for (const team of round.partition.teams.values()) {
      if (team.queue.size === 0 || tried.has(team)) continue;
      if (next === null || team.shareToQuotaRatio < next.shareToQuotaRatio) next = team;
    }
    if (next === null) return;
    const jobs = next.queue.listOldest(CONSIDERED_JOBS);
    if (!jobs.some((job) => placeTask(round, job))) tried.add(next);
  }
}

/** Baseline: the first version of the placement rules, without reservations, checkpoints and spreading. */
export const firstVersionPolicy: Policy = {
  scheduled: firstFitPolicy.scheduled,
  urgent: (round) => {
    placeTasks(round, round.partition.urgentQueue);
  },
  service: (round) => {
    placeTasks(round, round.partition.serviceQueue);
  },
  gang: placeGangs,
  batch: placeFairly,
};
