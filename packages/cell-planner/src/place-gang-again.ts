import { avoidance } from './avoidance.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';

type Assignments = { index: number; worker: string }[] | undefined;

/**
 * Places a gang whose earlier run may have failed. Load pattern: workers that fail whatever they start, and are
 * therefore the first to have room again. One failed member ends the whole gang, so that none of its tasks goes back
 * to a worker on which one of them has failed, unless the gang has waited for others for `avoidance.maxMs`.
 */
export function placeGangAgain(
  step: ReadyStep,
  nowMs: number,
  candidates: readonly PlannedWorker[],
  place: (candidates: readonly PlannedWorker[]) => Assignments,
): Assignments {
  if (step.failedRuns.size === 0) return place(candidates);
  const failedRuns = [...step.failedRuns.values()];
  const avoided = new Set(failedRuns.flatMap(({ workers }) => workers));
  const placed = place(candidates.filter((worker) => !avoided.has(worker.id)));
  const waitingSinceMs = Math.max(...failedRuns.map((failed) => failed.waitingSinceMs));
  return placed ?? (nowMs - waitingSinceMs >= avoidance.maxMs ? place(candidates) : undefined);
}
