/** A count that another process told, with the time in ms since it was heard. */
export interface HeardCount {
  count: number;
  ageMs: number;
}
