/** Limits of the placement rules. Times are in ms. */
export interface Limits {
  /** Starts and searches for workers in one planning round; they bound its duration. */
  startsPerRound: number;
  searchesPerRound: number;
  /** Part of the total capacity that is kept free for urgent work. */
  reservePerMille: number;
  /** Oldest jobs of a team that are tried, in order, for its next start. */
  jobsPerTeamSearch: number;
  /** Wait after which a job gets a reservation, and the shorter wait for jobs with large tasks. */
  ageingMs: number;
  largeAgeingMs: number;
  /** Reservations for batch tasks that a team may have at a time. */
  reservationsPerTeam: number;
  /** Reservations in relation to the number of workers, above which batch tasks get no more. */
  reservedWorkersPerMille: number;
  /** Age of a gang's reservation after which the gang may also start on other workers. */
  minReservationAgeMs: number;
  /** Time after the first worker was added at which earlier jobs that cannot run are refused. */
  neverRunnableCheckDelayMs: number;
  /** How long before its start time a scheduled job gets its workers. */
  armBeforeMs: number;
  /** Progress that a task must make between two checkpoints. */
  minCheckpointProgressMs: number;
  /** Time in which throttling or a checkpoint may end the overuse before the next measure is taken. */
  overuseGraceMs: number;
  /** Different jobs that fail on a worker without a success in between before it is ejected. */
  workerFailures: number;
  /** Different workers on which a job fails without a success in between before the job fails. */
  jobFailures: number;
  /** Failures of one task before its job fails; applies where there are too few workers. */
  taskFailures: number;
  /** First and longest back-off of a task after failures. */
  backOffMs: number;
  maxBackOffMs: number;
  /** First and longest time that a worker is ejected before it is probed. */
  ejectionMs: number;
  maxEjectionMs: number;
  /** Run time after which the task that probes a worker counts as a success although it has not ended. */
  probeMs: number;
  /** Run time after which the earlier failures of a service task are no longer counted. */
  stableServiceMs: number;
}
