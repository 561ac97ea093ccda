import type { RunView } from './run-view.js';

/** Below this share of the work in percent, progress says too little about the speed of a run. */
const MIN_PROGRESS_PERCENT = 10;
/** A run that exceeds its estimate is expected to go on for this share of its duration so far. */
const OVERRUN_REMAINING_SHARE = 0.2;

/** Returns the expected time in ms until the run ends, by its progress or else by its estimate. */
export function estimateRemainingMs(view: RunView, nowMs: number): number {
  if (view.percent >= MIN_PROGRESS_PERCENT) {
    const workedMs = view.percentAtMs - view.knownSinceMs;
    const totalMs = (workedMs * 100) / view.percent;
    return Math.max(0, view.knownSinceMs + totalMs - nowMs);
  }
  const elapsedMs = nowMs - view.knownSinceMs;
  return Math.max(view.estimateMs - elapsedMs, elapsedMs * OVERRUN_REMAINING_SHARE);
}
