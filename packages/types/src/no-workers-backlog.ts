/** Backlog that a partition without workers reports: more jobs than any partition has, so it attracts none. */
export const noWorkersBacklog = 1_000_000;
