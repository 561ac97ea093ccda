import type { faultKinds } from './fault-kinds.js';

/**
 * A fault of a random schedule. `targetIndex` selects the worker, process or job that it affects; for a pause
 * it also sets the factor on the duration, and for a jump of the wall clock the direction.
 */
export interface ScheduleFault {
  /** Time from the start of the schedule to the injection of the fault. */
  atMs: number;
  durationMs: number;
  kind: (typeof faultKinds)[number];
  targetIndex: number;
}
