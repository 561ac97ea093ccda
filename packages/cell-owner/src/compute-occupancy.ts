import { createOccupancy } from '@acaciahoist/cell-planner/create-occupancy';
import { limitBestEffortStarts } from '@acaciahoist/cell-planner/limit-best-effort-starts';
import { TaskKind } from '@acaciahoist/cell-planner/task-kind';
import type { WorkerOccupancy } from '@acaciahoist/cell-planner/worker-occupancy';
import { listInterferingRuns } from './list-interfering-runs.js';
import type { OwnerContext } from './owner-context.js';

/** Returns the serving and best-effort tasks of a worker, those included whose start is decided only. */
export function computeOccupancy(
  { runs, proposals, state }: Pick<OwnerContext, 'runs' | 'proposals' | 'state'>,
  worker: string,
  nowMs: number,
): WorkerOccupancy {
  const proposedServing = proposals.taskCounts.count(worker, TaskKind.serving);
  const proposedBestEffort = proposals.taskCounts.count(worker, TaskKind.bestEffort);
  const servingTasks = runs.taskCounts.count(worker, TaskKind.serving) + proposedServing;
  const bestEffortTasks = runs.taskCounts.count(worker, TaskKind.bestEffort) + proposedBestEffort;
  if (servingTasks === 0) return { ...createOccupancy(), bestEffortTasks };
  const { servingRuns, bestEffortRuns } = listInterferingRuns(runs.listOn(worker), state);
  const limit = limitBestEffortStarts(
    servingRuns.map(({ tailMs, targetMs }) => ({ tailMs, targetMs })),
    bestEffortRuns.map(({ pacedPercent, trackedSinceMs }) => ({
      percent: pacedPercent,
      sinceStartMs: nowMs - trackedSinceMs,
    })),
  );
  const startableBestEffortTasks =
    proposedServing > 0 || proposedBestEffort > 0 || servingRuns.length === 0 ? 0 : limit;
  return { servingTasks, bestEffortTasks, startableBestEffortTasks };
}
