import type { CellJob } from '@acaciahoist/cell-types';

/** Assumed number of workers that an advice request names; every step on a critical path needs a request. */
const ASSUMED_NAMED_WORKERS = 30;

/** Returns for each step the length in ms of the critical path from its start to the end of the job. */
export function computeCriticalPaths(job: CellJob): number[] {
  const { advice } = job.queue;
  const adviceMs =
    advice === undefined ? 0 : advice.decisionMs + advice.perWorkerMs * ASSUMED_NAMED_WORKERS;
  const criticalPathsMs = job.steps.map(() => 0);
  for (let index = job.steps.length - 1; index >= 0; index -= 1) {
    const step = job.steps[index];
    if (step === undefined) continue;
    const longestFollowingPathMs = job.steps.reduce(
      (longestMs, later, position) =>
        later.after.includes(index)
          ? Math.max(longestMs, criticalPathsMs[position] ?? 0)
          : longestMs,
      0,
    );
    criticalPathsMs[index] = adviceMs + step.estimateMs + longestFollowingPathMs;
  }
  return criticalPathsMs;
}
