/** How many new jobs of a team a front may accept while room is short and the team submits faster than its rate. */
export interface TeamLimit {
  jobsPerSecond: number;
  /** How long a job beyond the rate would wait, in ms. */
  waitMs: number;
}
