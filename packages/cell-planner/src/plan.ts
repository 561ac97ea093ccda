import type { ReservationWaits } from './reservation-waits.js';

/** Result of a planning round. */
export interface Plan {
  /** Tasks to start. The plan holds the starts of a whole gang or none of them. */
  starts: readonly { key: string; index: number; worker: string }[];
  /** Advice requests to send, for the most urgent steps first, with the workers to name. */
  adviceRequests: readonly { key: string; workers: readonly string[] }[];
  /** Gangs for which capacity is reserved, with the expected time in ms until they fit. */
  reservations: readonly { key: string; fitsInMs: number }[];
  /** Steps of which the quotas of their teams permit no start in this round. */
  heldByQuota: readonly string[];
  /** Whether a step that still has value waits for room on workers that could hold it if they were idle. */
  lacksRoom: boolean;
  /** Waits for reservations, which the next round takes into account. */
  waits: ReservationWaits;
}
