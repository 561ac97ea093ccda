import type { Limits } from './limits.js';

/** Limits for a cell of 790 workers, 11,000 tasks and 180 starts a second. */
export const defaultLimits: Limits = {
  startsPerRound: 48,
  searchesPerRound: 160,
  reservePerMille: 15,
  jobsPerTeamSearch: 24,
  ageingMs: 20_000,
  largeAgeingMs: 2_000,
  reservationsPerTeam: 8,
  // More reservations keep so much capacity idle that the mean wait rises from 3.1 s to 8.4 s.
  reservedWorkersPerMille: 30,
  minReservationAgeMs: 5_000,
  neverRunnableCheckDelayMs: 5_000,
  armBeforeMs: 3_600_000,
  minCheckpointProgressMs: 5_000,
  overuseGraceMs: 2_000,
  workerFailures: 3,
  jobFailures: 3,
  taskFailures: 10,
  backOffMs: 500,
  maxBackOffMs: 60_000,
  ejectionMs: 10_000,
  maxEjectionMs: 600_000,
  probeMs: 60_000,
  stableServiceMs: 60_000,
};
