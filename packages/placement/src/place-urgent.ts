import type { JobRecord } from './job-record.js';
import { reservations } from './reservations.js';
import type { Round } from './round.js';
import type { TaskRecord } from './task-record.js';
import type { Team } from './team.js';
import { vectors } from './vectors.js';
import type { WorkerRecord } from './worker-record.js';

/** Oldest urgent jobs tried in one round. */
const JOBS_PER_ROUND = 32;
/** Workers, teams and tasks examined for one urgent task; they bound the duration of a search. */
const RESERVE_CANDIDATES = 24;
const PREEMPTED_TEAMS = 3;
const TASKS_PER_TEAM = 16;
/** Time that checkpoints have to free the capacity before other tasks are preempted, ms. */
const CHECKPOINT_WAIT_MS = 600;

/** Tasks of a worker whose checkpoint frees capacity for an urgent task. */
interface Preemption {
  worker: WorkerRecord;
  tasks: TaskRecord[];
  cost: number;
}

/** Returns a worker on which the demand fits when the urgent reserve is used, or null. */
function findReserveWorker(round: Round, demand: readonly number[]): WorkerRecord | null {
  const { urgentReserveWorkers } = round.partition.workerTable;
  const candidateCount = Math.min(RESERVE_CANDIDATES, urgentReserveWorkers.length);
  const offset = Math.floor(round.partition.nextRandom() * urgentReserveWorkers.length);
  for (let i = 0; i < candidateCount; i += 1) {
    const worker = urgentReserveWorkers[(offset + i) % urgentReserveWorkers.length];
    if (worker?.state !== 'active') continue;
    if (vectors.fits(demand, reservations.computeFreeCapacity(worker))) return worker;
  }
  return null;
}

/** Cost of a checkpoint: tasks of teams over their quota and tasks started recently cost least. */
function computeCost(task: TaskRecord, nowMs: number): number {
  return (1_000 + nowMs - task.startedAtMs) / Math.max(0.1, task.job.team.shareToQuotaRatio);
}

/** Chooses the tasks with the lowest cost whose checkpoint makes the demand fit, or null. */
function planPreemption(
  round: Round,
  worker: WorkerRecord,
  demand: readonly number[],
): Preemption | null {
  const { partition, nowMs } = round;
  const free = reservations.computeFreeCapacity(worker);
  const candidates = [...worker.tasks]
    .filter((task) => task.preemptiblePosition >= 0 && partition.mayCheckpoint(task))
    .sort((left, right) => computeCost(left, nowMs) - computeCost(right, nowMs));
  const tasks: TaskRecord[] = [];
  let cost = 0;
  for (const task of candidates) {
    vectors.addTo(free, task.allocation);
    tasks.push(task);
    cost += computeCost(task, nowMs);
    if (vectors.fits(demand, free)) return { worker, tasks, cost };
  }
  return null;
}

/** Lists teams with preemptible tasks, those furthest over their quota first. */
function listTeamsToPreempt(round: Round): Team[] {
  return [...round.partition.teams.values()]
    .filter((team) => team.preemptibleTasks.length > 0)
    .sort((left, right) => right.shareToQuotaRatio - left.shareToQuotaRatio)
    .slice(0, PREEMPTED_TEAMS);
}

/**
 * Finds the cheapest preemption among the workers that run the most recent tasks of the teams
 * furthest over their quota, or null.
 */
function findPreemption(round: Round, demand: readonly number[]): Preemption | null {
  let best: Preemption | null = null;
  const examined = new Set<WorkerRecord>();
  for (const { preemptibleTasks } of listTeamsToPreempt(round)) {
    const firstPosition = Math.max(0, preemptibleTasks.length - TASKS_PER_TEAM);
    for (let i = preemptibleTasks.length - 1; i >= firstPosition; i -= 1) {
      const worker = preemptibleTasks[i]?.worker ?? null;
      if (worker?.state !== 'active' || examined.has(worker)) continue;
      examined.add(worker);
      const preemption = planPreemption(round, worker, demand);
      if (preemption !== null && (best === null || preemption.cost < best.cost)) best = preemption;
    }
  }
  return best;
}

/** Reserves a worker for the task and checkpoints tasks there; false when no task may be checkpointed. */
function preemptForTask(round: Round, job: JobRecord, task: TaskRecord, demand: number[]): boolean {
  const { partition, nowMs } = round;
  const preemption = findPreemption(round, demand);
  if (preemption === null) {
    partition.explain(
      job,
      'no-room',
      'the urgent reserve is used up and no other work may be checkpointed',
      nowMs,
    );
    return false;
  }
  const { worker, tasks } = preemption;
  const plan = new Map([[worker, { demand, tasks: [task] }]]);
  reservations.create(partition, job, task, plan, nowMs, nowMs + CHECKPOINT_WAIT_MS, tasks);
  for (const preempted of tasks) {
    round.requestTaskEnd(preempted, 'checkpoint', `frees capacity for urgent job ${job.id}`);
  }
  partition.explain(job, 'checkpointing', `${tasks.length} tasks at ${worker.address}`, nowMs);
  return true;
}

/** Preempts tasks for every waiting task of the job that has no reservation yet. */
function preemptForJob(round: Round, job: JobRecord): void {
  for (let i = job.waitingTasks.length - 1; i >= 0 && !round.isFull(); i -= 1) {
    const task = job.waitingTasks[i];
    if (task?.reservation !== null) continue;
    round.countSearch();
    if (!preemptForTask(round, job, task, round.partition.computeDemand(task))) return;
  }
}

/** Starts the waiting tasks of one job up to the first that has to wait. */
function placeJob(round: Round, job: JobRecord): void {
  while (!round.isFull()) {
    const task = job.waitingTasks[job.waitingTasks.length - 1];
    if (task === undefined) return;
    const demand = round.partition.computeDemand(task);
    const worker = round.findWorker(demand, job.failedWorkers);
    if (worker !== null) {
      round.startNext(job, worker, 'urgent: free capacity');
      continue;
    }
    const reserveWorker = findReserveWorker(round, demand);
    if (reserveWorker !== null) {
      round.startNext(job, reserveWorker, 'urgent: capacity of the urgent reserve');
      continue;
    }
    preemptForJob(round, job);
    return;
  }
}

/**
 * Places urgent work, oldest first: on free capacity, then on the urgent reserve, then by
 * checkpointing other work.
 */
export function placeUrgent(round: Round): void {
  for (const job of round.partition.urgentQueue.listOldest(JOBS_PER_ROUND)) {
    if (round.isFull()) return;
    placeJob(round, job);
  }
}
