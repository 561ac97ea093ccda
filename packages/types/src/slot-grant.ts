import type { Offset } from './offset.js';

/** Permission to use one slot of one runner for one request. */
export interface SlotGrant {
  grantId: string;
  runner: string;
  token: Offset;
  /** Time for which the slot may be used, counted from the time at which the grant was sent. */
  deadlineMs: number;
}
