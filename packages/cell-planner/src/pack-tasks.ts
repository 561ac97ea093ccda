import { admitsTask } from './admits-task.js';
import { chooseSpeedPreference } from './choose-speed-preference.js';
import type { FailedRuns } from './failed-runs.js';
import { findTaskKind } from './find-task-kind.js';
import { fits } from './fits.js';
import { hasCapacity } from './has-capacity.js';
import { occupyWorker } from './occupy-worker.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { CapacityLedger } from './capacity-ledger.js';
import type { Capacity } from './capacity.js';
import { scoreInterference } from './score-interference.js';
import { scoreMissedObjective } from './score-missed-objective.js';
import { scoreSpeed } from './score-speed.js';
import { TaskKind } from './task-kind.js';

/**
 * Added to the score of a worker off the rack of the data. Scores of tasks that are not best-effort are at most
 * 11.3 without it, so that every worker on the rack comes first.
 */
const OFF_RACK_PENALTY = 12;

/**
 * Assigns waiting tasks to workers, at most `maxTasks` of them, and subtracts their demand. Load
 * pattern: many tasks of unequal demand on workers that are nearly full. Each task goes to the
 * worker on which it leaves the least free capacity, so that large amounts of free capacity remain
 * for large tasks. Best-effort tasks, which take no processors, are spread instead, over workers that serve nothing
 * first. A task goes back to a worker on which it has failed only if no other candidate
 * can take it now and `mayReturn` allows it.
 */
export function packTasks(
  step: ReadyStep,
  demand: Capacity,
  candidates: readonly PlannedWorker[],
  ledger: CapacityLedger,
  maxTasks: number,
  nowMs: number,
  mayReturn: (failedRuns: FailedRuns) => boolean,
): { index: number; worker: string }[] {
  const assignments: { index: number; worker: string }[] = [];
  const maxPerWorker =
    step.step.maxPerWorker > 0 ? step.step.maxPerWorker : Number.POSITIVE_INFINITY;
  const tasksByWorker = new Map(step.tasksByWorker);
  const kind = findTaskKind(step.step);
  const speedPreference = chooseSpeedPreference(step, nowMs);
  const scoreOf = (worker: PlannedWorker): number =>
    computeScore(step, worker, demand) +
    scoreInterference(kind, step, worker) +
    scoreSpeed(speedPreference, worker.speed) +
    scoreMissedObjective(step, worker.speed, nowMs);
  const canTake = (worker: PlannedWorker): boolean =>
    (tasksByWorker.get(worker.id) ?? 0) < maxPerWorker &&
    hasCapacity(worker, demand, ledger) &&
    admitsTask(worker, step);
  // A round only takes capacity, so that a worker without room now has none for any of the tasks.
  const workersWithRoom = candidates.filter(({ free }) => fits(free, demand));
  const findWorker = (avoided: readonly string[]): PlannedWorker | undefined =>
    findBestWorker(
      workersWithRoom,
      scoreOf,
      (worker) => !avoided.includes(worker.id) && canTake(worker),
    );
  /** Sets of avoided workers beside which no candidate can take another task in this round. */
  const exhaustedSets = new Set<string>();
  let bestWorker: PlannedWorker | undefined;
  for (const index of step.waitingTasks) {
    if (assignments.length >= maxTasks) break;
    const failedRuns = step.failedRuns.get(index);
    const avoided = failedRuns?.workers ?? [];
    // The best worker stays the best until it is full: with each task it has less free capacity.
    let worker =
      bestWorker !== undefined && !avoided.includes(bestWorker.id) && canTake(bestWorker)
        ? bestWorker
        : undefined;
    const setKey = avoided.join('\n');
    if (worker === undefined && !exhaustedSets.has(setKey)) {
      worker = findWorker(avoided);
      if (worker === undefined) exhaustedSets.add(setKey);
    }
    if (worker === undefined) {
      // A task that avoids no worker shows that no candidate can take any task of the step.
      if (failedRuns === undefined) break;
      if (!mayReturn(failedRuns)) continue;
      worker = findWorker([]);
      if (worker === undefined) break;
    }
    ledger.subtract(worker, demand);
    occupyWorker(worker, kind, step.step.image);
    tasksByWorker.set(worker.id, (tasksByWorker.get(worker.id) ?? 0) + 1);
    assignments.push({ index, worker: worker.id });
    // For the next task, a worker that this one avoids may be the best. Best-effort tasks, and those of an image that
    // slows itself down, are spread.
    const isSpread =
      kind === TaskKind.bestEffort || worker.images?.conflictsWith(step.step.image) === true;
    bestWorker = avoided.length === 0 && !isSpread ? worker : undefined;
  }
  return assignments;
}

function findBestWorker(
  candidates: readonly PlannedWorker[],
  scoreOf: (worker: PlannedWorker) => number,
  canTake: (worker: PlannedWorker) => boolean,
): PlannedWorker | undefined {
  let bestWorker: PlannedWorker | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const worker of candidates) {
    if (!canTake(worker)) continue;
    const score = scoreOf(worker);
    if (score >= bestScore) continue;
    bestWorker = worker;
    bestScore = score;
  }
  return bestWorker;
}

/**
 * Returns the sum of the shares of processors and memory that stay free beside the task; lower is
 * better.
 */
function computeScore(step: ReadyStep, worker: PlannedWorker, demand: Capacity): number {
  const { free, total } = worker;
  const cpuShare = (free.millicores - demand.millicores) / Math.max(1, total.millicores);
  const memoryShare = (free.memoryMib - demand.memoryMib) / Math.max(1, total.memoryMib);
  const isOffRack = step.step.dataRack !== '' && worker.rack !== step.step.dataRack;
  return cpuShare + memoryShare + (isOffRack ? OFF_RACK_PENALTY : 0);
}
