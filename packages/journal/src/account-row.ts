import type { Outcome } from '@acaciahoist/types/outcome';

/** Totals of one user, team and outcome in one period. All amounts are integers. */
export interface AccountRow {
  user: string;
  team: string;
  outcome: Outcome;
  /** Requests and jobs that ended with the outcome. */
  count: number;
  /** Sum of the waiting times of the counted requests and jobs. */
  waitMs: number;
  /** A 64-bit `bigint`: a cell of 790 workers reaches 6.8e16 millicore-ms in a month, above 2^53. */
  millicoreMs: bigint;
  mibMs: bigint;
}
