/** What one planning round tells the next one about waits for reservations. Times are monotonic ms. */
export interface ReservationWaits {
  /** Since when reservations alone have kept a step from idle capacity, by key of the step. */
  heldSinceMs: ReadonlyMap<string, number>;
  /** When a waiting gang first got a reservation, by key of the gang. */
  reservedSinceMs: ReadonlyMap<string, number>;
}
