import type { Capacity } from './capacity.js';

/** Capacity that is reserved for a gang. */
export interface Reservation {
  key: string;
  /** Expected time in ms until the gang fits. */
  fitsInMs: number;
  /**
   * Capacity that the gang will leave free on each of its workers; a task of another step that runs
   * for longer than `fitsInMs` must fit into it.
   */
  spareCapacity: Map<string, Capacity>;
}
