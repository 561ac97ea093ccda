import type { Capacity } from './capacity.js';

/** Capacity that is reserved for a gang. */
export interface Reservation {
  key: string;
  /** Expected time in ms until the gang fits. */
  fitsInMs: number;
  /**
   * Capacity that the gang leaves free on each of its workers; tasks that run for longer than
   * `fitsInMs` must fit into it.
   */
  spareCapacity: Map<string, Capacity>;
}
