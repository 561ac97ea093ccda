/** Bounds of the placement rules. Times in ms. */
export interface Limits {
  /** Starts and searches of one decision; bounds its duration. */
  startsPerDecision: number;
  searchesPerDecision: number;
  /** Part of the cell kept free for urgent work. */
  reservePerMille: number;
  /** Jobs behind the oldest one of a team that may start before it. */
  jobsPerTeamSearch: number;
  /** Wait after which a job gets a reservation, and the shorter one for jobs with large tasks. */
  ageingMs: number;
  largeAgeingMs: number;
  /** Reservations of batch tasks that a team may hold at a time. */
  reservationsPerTeam: number;
  /** Reservations of single tasks in relation to the number of workers. */
  reservedWorkersPerMille: number;
  /** Shortest time between two plans of a reservation. */
  minReservationAgeMs: number;
  /** Time after the first worker was added at which earlier jobs are checked. */
  impossibleCheckDelayMs: number;
  /** How long before its date a scheduled job gets a worker. */
  armBeforeMs: number;
  /** Least progress between two checkpoints of a task. */
  minCheckpointProgressMs: number;
  /** Time that throttling and checkpointing have to take effect. */
  overuseGraceMs: number;
  /** Different jobs that fail in a row before a worker is ejected. */
  workerFailures: number;
  /** Different workers on which a job fails before it is stopped. */
  jobFailures: number;
  /** Failures of one task before its job is stopped, where there are too few workers. */
  taskFailures: number;
  /** Back-off after failures: first delay and longest delay. */
  backoffMs: number;
  maxBackoffMs: number;
  /** Back-off of ejected workers: first delay and longest delay. */
  exclusionMs: number;
  maxExclusionMs: number;
  /** Run time after which a service counts as stable. */
  stableServiceMs: number;
}
