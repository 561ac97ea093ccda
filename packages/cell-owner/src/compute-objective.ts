import type { CellJob } from '@acaciahoist/cell-types';
import { computeCriticalPaths } from './compute-critical-paths.js';

/** Returns the time in ms from when a job is due until it has to end to have its full value. */
export function computeObjectiveMs(job: CellJob): number {
  const { stretch, baseMs } = job.queue;
  return stretch * Math.max(0, ...computeCriticalPaths(job)) + baseMs;
}
