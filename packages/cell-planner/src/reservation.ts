import type { Room } from './room.js';

/** Room that is kept for a gang. */
export interface Reservation {
  key: string;
  /** Expected time in ms until the gang fits. */
  fitsInMs: number;
  /** Room that is left on each worker once the gang runs; what runs beyond `fitsInMs` must fit in it. */
  spareCapacity: Map<string, Room>;
}
