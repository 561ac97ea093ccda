/** Pending count that another process reported, with an upper bound of its age in ms. */
export interface HeardCount {
  count: number;
  ageMs: number;
}
