import type { Room } from './room.js';

/** Capacity that is reserved for a gang. */
export interface Reservation {
  key: string;
  /** Expected time in ms until the gang fits. */
  fitsInMs: number;
  /**
   * Capacity beside the gang on each of its workers; tasks that outlast `fitsInMs` must fit into
   * it.
   */
  spareCapacity: Map<string, Room>;
}
