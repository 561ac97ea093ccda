import { TaskKind } from '@acaciahoist/cell-planner/task-kind';
import type { CellState } from '@acaciahoist/cell-state';
import type { TrackedRun } from './tracked-run.js';

/** Lists the serving and the best-effort runs among the runs of a worker. */
export function listInterferingRuns(
  runs: Iterable<TrackedRun>,
  state: CellState,
): {
  servingRuns: { run: TrackedRun; tailMs: number; targetMs: number }[];
  bestEffortRuns: TrackedRun[];
} {
  const servingRuns: { run: TrackedRun; tailMs: number; targetMs: number }[] = [];
  const bestEffortRuns: TrackedRun[] = [];
  for (const run of runs) {
    if (run.kind === TaskKind.bestEffort) bestEffortRuns.push(run);
    if (run.kind !== TaskKind.serving) continue;
    const targetMs = state.findStep(run.task)?.tailTargetMs ?? 0;
    if (targetMs > 0) servingRuns.push({ run, tailMs: run.load, targetMs });
  }
  return { servingRuns, bestEffortRuns };
}
