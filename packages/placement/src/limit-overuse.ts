import type { Round } from './round.js';
import type { TaskRecord } from './task-record.js';
import { vectors } from './vectors.js';
import type { WorkerRecord } from './worker-record.js';

/** Number of overloaded workers that one round examines. */
const WORKERS_PER_ROUND = 32;

/** Returns the task that exceeds its demand by the largest part of the worker's capacity, or null. */
function findWorstTask(worker: WorkerRecord): TaskRecord | null {
  let worst: TaskRecord | null = null;
  let worstExcess = 0;
  for (const task of worker.tasks) {
    if (task.observedUsage === null || task.state !== 'running') continue;
    const excessUsage = task.observedUsage.map((amount, i) => amount - vectors.at(task.demand, i));
    const excess = vectors.dominantShare(excessUsage, worker.capacity);
    if (excess <= worstExcess) continue;
    worstExcess = excess;
    worst = task;
  }
  return worst;
}

function hasArmedTask(worker: WorkerRecord): boolean {
  for (const task of worker.tasks) if (task.state === 'armed') return true;
  return false;
}

/** Takes the next measure against the overuse of a worker after the grace time of the previous one. */
function escalate(round: Round, worker: WorkerRecord): void {
  const { partition, nowMs } = round;
  const overuse = worker.overuse;
  if (overuse === null) {
    const task = findWorstTask(worker);
    if (task === null) return;
    worker.overuse = { task, stage: 'throttle', sinceMs: nowMs };
    round.addTaskDecision(task, 'throttle', `worker ${worker.address} is over its capacity`);
    return;
  }
  // An armed task must start at its start time, so the measure after throttling follows at once.
  const skipsGrace = hasArmedTask(worker) && overuse.stage === 'throttle';
  if (!skipsGrace && nowMs - overuse.sinceMs < partition.limits.overuseGraceMs) return;
  const { task } = overuse;
  const canCheckpoint = task.preemptiblePosition >= 0 && partition.mayCheckpoint(task);
  const stage = overuse.stage === 'throttle' && canCheckpoint ? 'checkpoint' : 'stop';
  if (overuse.stage === 'stop') return;
  worker.overuse = { task, stage, sinceMs: nowMs };
  round.requestTaskEnd(task, stage, 'uses more than declared and throttling was not enough');
}

/**
 * Throttles, then checkpoints, then stops the task that exceeds its demand most on an overloaded worker.
 */
export function limitOveruse(round: Round): void {
  const { overloadedWorkers } = round.partition;
  let handled = 0;
  for (const worker of overloadedWorkers) {
    if (handled >= WORKERS_PER_ROUND) return;
    handled += 1;
    if (worker.isOverloaded && worker.state !== 'removed') {
      escalate(round, worker);
      continue;
    }
    worker.overuse = null;
    overloadedWorkers.delete(worker);
  }
}
