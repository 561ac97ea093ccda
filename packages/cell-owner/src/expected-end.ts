import type { RunView } from './run-view.js';

/** A share of work below this says too little about the speed of a run. */
const MIN_PERCENT = 10;
/** A run that is over its estimate is expected to go on for this share of its time so far. */
const OVERRUN_SHARE = 0.2;

/** Time in ms until the run is expected to end, by its progress or else by its estimate. */
export function expectedEnd(view: RunView, nowMs: number): number {
  if (view.percent >= MIN_PERCENT) {
    const workedMs = view.percentAtMs - view.sinceMs;
    const totalMs = (workedMs * 100) / view.percent;
    return Math.max(0, view.sinceMs + totalMs - nowMs);
  }
  const elapsedMs = nowMs - view.sinceMs;
  return Math.max(view.estimateMs - elapsedMs, elapsedMs * OVERRUN_SHARE);
}
