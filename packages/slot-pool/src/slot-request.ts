import type { Lane } from './lane.js';

/** A request for one slot. */
export interface SlotRequest {
  /** Chosen by the holder and unique; a repeated request with the same id gets the same grant. */
  grantId: string;
  service: string;
  lane: Lane;
  /** Remaining time of the work, ms. */
  deadlineMs: number;
  /** The process that will use the slot, with its incarnation. */
  holder: string;
  /** Addresses of runners that must not be chosen: already tried, or ejected by the holder. */
  exclude: readonly string[];
}
