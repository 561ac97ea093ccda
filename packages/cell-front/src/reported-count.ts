/** Pending count that another process reported, with an upper bound of its age in ms. */
export interface ReportedCount {
  count: number;
  ageMs: number;
}
