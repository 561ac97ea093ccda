/** What the owner knows of the teams while room is short. */
export interface TeamBacklog {
  /** Age in ms of the planning round that showed it. */
  ageMs: number;
  teams: readonly {
    name: string;
    /** Jobs per second that are not beyond the rate of the team. */
    weight: number;
    /** How long a job beyond that rate would wait, in ms. */
    waitMs: number;
  }[];
}
