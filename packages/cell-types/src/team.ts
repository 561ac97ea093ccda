/** A team whose callers submit jobs, as the configuration in force describes it. */
export interface Team {
  name: string;
  /** Keys by which callers show that they belong to the team. They are secret: they appear in no log line. */
  keys: readonly string[];
  /**
   * Part of the cell that the team may use while there is not enough for all, relative to other teams, and its jobs
   * per second in that case; 0 for a team that has no share.
   */
  weight: number;
  /** Limit on what the team has running on all workers together; 0 in a field for no limit. */
  quota: TeamQuota;
}

interface TeamQuota {
  millicores: number;
  memoryMib: number;
  accelerators: number;
}
