/** Summary of the placement of a partition for operators and metrics. */
export interface PlacementView {
  /** Number of workers by state. */
  workers: Readonly<Record<string, number>>;
  /** Tasks that have capacity at a worker. */
  tasks: number;
  /** Jobs, including ended ones that can still be explained. */
  jobs: number;
  /** Jobs in the queues. */
  waiting: { urgent: number; service: number; gang: number; batch: number };
  reservations: readonly { jobId: string; workers: number; readyAtMs: number }[];
  /** Allocated part of the capacity of all workers, per mille, by resource. */
  usedPerMille: Readonly<Record<string, number>>;
  teams: readonly { name: string; sharePerMille: number; quotaPerMille: number; waiting: number }[];
}
