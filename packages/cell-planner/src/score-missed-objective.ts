import type { ReadyStep } from './ready-step.js';

/** Above the shares of free capacity of up to 2 and the speed of up to 0.3 either way. */
const MISSED_OBJECTIVE_PENALTY = 3;
/** Speeds above it are as good as the usual one: learned speeds of equal workers differ by 15% and more. */
const SLOW_SPEED = 0.75;
/** Run times exceed their estimates by up to half, and by a fifth in queues of prompt work. */
const ESTIMATE_MARGIN = 1.25;

/**
 * Returns the part of a worker's score that accounts for a job that would miss its objective there although a worker
 * of the usual speed would make it; lower is better. Load pattern: prompt work with an objective of one and a half
 * times its run time, in a cell in which a part of the workers has half of the usual speed. Packing alone sends it to
 * the slow workers as often as to the others. An unknown speed counts as the usual one.
 */
export function scoreMissedObjective(
  { objectiveAtMs, remainingMs }: Pick<ReadyStep, 'objectiveAtMs' | 'remainingMs'>,
  speed: number | undefined,
  nowMs: number,
): number {
  if (speed === undefined || speed > SLOW_SPEED) return 0;
  const leftMs = objectiveAtMs - nowMs;
  const isMissedAnyway = remainingMs > leftMs;
  const isMissedHere = (remainingMs * ESTIMATE_MARGIN) / speed > leftMs;
  return isMissedHere && !isMissedAnyway ? MISSED_OBJECTIVE_PENALTY : 0;
}
