import type { Lane } from './lane.js';

/** An outstanding grant as its holder or a predecessor reports it. */
export interface OutstandingGrant {
  grantId: string;
  runner: string;
  service: string;
  lane: Lane;
  holder: string;
  /** Time until the grant's deadline, ms. */
  remainingMs: number;
}
