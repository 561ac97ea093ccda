import type { faultKinds } from './fault-kinds.js';

/** One fault of a random schedule. `pick` chooses what it strikes, where there is a choice. */
export interface ScheduleFault {
  atMs: number;
  durationMs: number;
  kind: (typeof faultKinds)[number];
  targetIndex: number;
}
