/**
 * Backlog that a partition without workers reports: more jobs than any partition has, so that no
 * submission is routed to it.
 */
export const noWorkersBacklog = 1_000_000;
