/**
 * Backlog that a partition without workers reports: more jobs than any partition has, so that no
 * submission is routed to it.
 */
export const NO_WORKERS_BACKLOG_JOBS = 1_000_000;
