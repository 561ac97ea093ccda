/** A count that another process told, with an upper bound of its age in ms. */
export interface HeardCount {
  count: number;
  ageMs: number;
}
