import type { TrackedRun } from './tracked-run.js';

/** Below this share of the work in percent, progress says too little about the speed of a run. */
const MIN_PROGRESS_PERCENT = 10;
/** A run that exceeds its estimate is expected to go on for this share of its duration so far. */
const OVERRUN_REMAINING_SHARE = 0.2;

/**
 * Returns the expected time in ms until the run ends, by its progress or else by its estimate at the speed of its
 * worker; infinite for a run that does not end by itself.
 */
export function estimateRemainingMs(trackedRun: TrackedRun, nowMs: number, speed = 1): number {
  // The percentage of a long-running task says whether it is at work.
  if (trackedRun.isLongRunning) return Number.POSITIVE_INFINITY;
  if (trackedRun.percent >= MIN_PROGRESS_PERCENT) {
    const workedMs = trackedRun.lastProgressAtMs - trackedRun.trackedSinceMs;
    const totalMs = (workedMs * 100) / trackedRun.percent;
    return Math.max(0, trackedRun.trackedSinceMs + totalMs - nowMs);
  }
  const elapsedMs = nowMs - trackedRun.trackedSinceMs;
  return Math.max(trackedRun.estimateMs / speed - elapsedMs, elapsedMs * OVERRUN_REMAINING_SHARE);
}
