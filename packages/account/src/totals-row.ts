import type { Outcome } from '@acaciahoist/types/outcome';

/**
 * Totals of one user and team. Counts and waiting time are safe integers, checked at each addition: a
 * month of 5000 requests a second that wait 30 s each is 4e14 ms. The resource totals are `bigint`: a
 * month of 790 workers with 32 cores and 64 GiB each is 6.8e16 millicore-ms and 1.4e17 MiB-ms,
 * above 2^53.
 */
export interface TotalsRow {
  readonly user: string;
  readonly team: string;
  /** Number of requests and jobs by outcome. Negative only in corrections. */
  readonly counts: Readonly<Record<Outcome, number>>;
  readonly waitMs: number;
  readonly millicoreMs: bigint;
  readonly memoryMibMs: bigint;
}
