/**
 * Backlog that a partition without workers reports. It is larger than that of any other partition, so that
 * no submission is routed to it.
 */
export const NO_WORKERS_BACKLOG_JOBS = 1_000_000;
