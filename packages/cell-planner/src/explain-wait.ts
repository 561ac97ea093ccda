import type { Capacity } from './capacity.js';
import { admitsTask } from './admits-task.js';
import { computeDemand } from './compute-demand.js';
import { countFittingTasks } from './count-fitting-tasks.js';
import { hasLabel } from './has-label.js';
import { orderUnderOverload } from './order-under-overload.js';
import { planCell } from './plan-cell.js';
import type { Plan } from './plan.js';
import type { PlannedTeams } from './planned-teams.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { RoundBudget } from './round-budget.js';
import type { StepWait } from './step-wait.js';
import { TeamShares } from './team-shares.js';
import { WaitReason } from './wait-reason.js';
import { WorkerIndex } from './worker-index.js';

/**
 * Explains why a step among the ready ones waits: runs one planning round without effects, and counts the
 * workers that each condition leaves. The round changes `free` of the given workers, unless `runRound` returns
 * the plan of a round that was run on others.
 */
export function explainWait(
  step: ReadyStep,
  steps: readonly ReadyStep[],
  workers: readonly PlannedWorker[],
  nowMs: number,
  budget: RoundBudget,
  teams?: PlannedTeams,
  runRound: () => Plan = () => planCell(steps, workers, nowMs, budget, teams),
): StepWait {
  const { advice } = step;
  const demand = computeDemand(step.step);
  const ofService = workers.filter((worker) => worker.service === step.queue.service);
  const startable = WorkerIndex.create(workers).listEligible(step);
  const allowed =
    advice === undefined ? startable : startable.filter((worker) => advice.allowed.has(worker.id));
  const hasRoom = (worker: PlannedWorker): boolean => countFittingTasks(worker.free, demand, 1) > 0;
  const withRoom = allowed.filter(hasRoom);
  const withRoomBelowLimit = withRoom.filter((worker) => countTasks(step, demand, [worker]) > 0);
  const withTicket = withRoomBelowLimit.filter(
    (worker) => advice === undefined || (advice.allowed.get(worker.id) ?? 0) > nowMs,
  );
  const neededTasks = step.step.gang ? step.waitingTasks.length : 1;
  const isLargeEnough = countTasks(step, demand, startable, true) >= neededTasks;
  const isAdmitted = withTicket.some((worker) => admitsTask(worker, step));
  const isRoomForGang = countTasks(step, demand, allowed) >= neededTasks;
  const counts = {
    demand,
    waitingTasks: step.waitingTasks.length,
    ...(step.isExcess ? { isExcess: true as const } : {}),
    stepsAhead: orderUnderOverload(
      steps,
      nowMs,
      teams && TeamShares.create(teams, steps),
    ).findIndex(({ key }) => key === step.key),
    workers: ofService.length,
    startableWorkers: startable.length,
    largeEnoughWorkers: startable.filter((worker) => countFittingTasks(worker.total, demand, 1) > 0)
      .length,
    allowedWorkers: allowed.length,
    workersWithRoom: withRoom.length,
  };
  const plan = runRound();
  const fitsInMs = plan.reservations.find(({ key }) => key === step.key)?.fitsInMs;
  return { reason: chooseReason(), ...counts, fitsInMs };

  function chooseReason(): WaitReason {
    if (plan.starts.some(({ key }) => key === step.key)) return WaitReason.startsNext;
    if (ofService.length === 0) return WaitReason.noWorkers;
    if (!ofService.some((worker) => hasLabel(worker, step.step.label))) return WaitReason.noLabel;
    if (startable.length === 0) return WaitReason.noneAccepts;
    if (!isLargeEnough) return WaitReason.tooLarge;
    if (plan.heldByQuota.includes(step.key)) return WaitReason.teamQuota;
    if (advice !== undefined && allowed.length === 0)
      return advice.isAnswered && !advice.isOutstanding
        ? WaitReason.adviceDenied
        : WaitReason.waitsForAdvice;
    if (budget.starts <= 0) return WaitReason.startWindowFull;
    if (step.step.gang && !isRoomForGang) return WaitReason.noRoomForGang;
    if (withRoom.length === 0) return WaitReason.noRoom;
    if (withRoomBelowLimit.length === 0) return WaitReason.limitPerWorker;
    if (withTicket.length === 0) return WaitReason.ticketsExpired;
    if (!isAdmitted) return WaitReason.besideServing;
    return step.waitingTasks.every((index) => hasFailedOnAll(withTicket, index))
      ? WaitReason.failedThere
      : WaitReason.behindOthers;
  }

  /** Returns whether the task has failed on each of the workers. */
  function hasFailedOnAll(candidates: readonly PlannedWorker[], index: number): boolean {
    const failedWorkers = step.failedRuns.get(index)?.workers ?? [];
    return candidates.every((worker) => failedWorkers.includes(worker.id));
  }
}

/** Counts the tasks that fit on the workers, or on those of the best rack if the step needs one rack. */
function countTasks(
  step: ReadyStep,
  demand: Capacity,
  workers: readonly PlannedWorker[],
  areIdle = false,
): number {
  const maxPerWorker = step.step.maxPerWorker > 0 ? step.step.maxPerWorker : step.step.count;
  const isOneRack = step.step.gang && step.step.sameRack;
  const tasksByRack = new Map<string, number>();
  for (const { id, rack, free, total } of workers) {
    const tasksThere = areIdle ? 0 : (step.tasksByWorker.get(id) ?? 0);
    const limit = Math.max(0, maxPerWorker - tasksThere);
    const tasks = countFittingTasks(areIdle ? total : free, demand, limit);
    const key = isOneRack ? rack : '';
    tasksByRack.set(key, (tasksByRack.get(key) ?? 0) + tasks);
  }
  return Math.max(0, ...tasksByRack.values());
}
