import type { faultKinds } from './fault-kinds.js';

/**
 * A fault of a random schedule. `targetIndex` selects the worker, process or job that it affects; it also
 * sets the factor of a pause and the direction of a jump of the time of day.
 */
export interface ScheduleFault {
  atMs: number;
  durationMs: number;
  kind: (typeof faultKinds)[number];
  targetIndex: number;
}
