import { TaskKind } from '@acaciahoist/cell-planner/task-kind';
import type { TrackedRun } from './tracked-run.js';

/** Share of its duration for which a run may be alone at first and still counts as beside the other one. */
const MAX_ALONE_SHARE = 0.2;

/**
 * Finds the images beside a run that ends: `together` were there at its start and at its end, and `some` at either.
 * `runs` are those on its worker.
 */
export function findImagesBeside(
  ended: TrackedRun,
  runs: Iterable<TrackedRun>,
  nowMs: number,
): { together: ReadonlySet<string>; some: ReadonlySet<string> } {
  const atStart = new Set(ended.imagesAtStart);
  const atEnd = new Set<string>();
  const durationMs = nowMs - ended.trackedSinceMs;
  const earlyMs = ended.trackedSinceMs + durationMs * MAX_ALONE_SHARE;
  for (const run of runs) {
    if (run === ended || run.image === '' || run.kind === TaskKind.bestEffort) continue;
    atEnd.add(run.image);
    if (run.trackedSinceMs <= earlyMs) atStart.add(run.image);
  }
  const together = new Set([...atStart].filter((image) => atEnd.has(image)));
  return { together, some: new Set([...atStart, ...atEnd]) };
}
