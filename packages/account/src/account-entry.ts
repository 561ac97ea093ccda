import type { Outcome } from '@acaciahoist/types/outcome';

/** The amounts that ended requests, jobs or tasks add to the totals. They are not negative. */
export interface AccountEntry {
  user: string;
  team: string;
  /**
   * Outcome of the counted requests or jobs; null when only resource use is added and `count` is 0.
   */
  outcome: Outcome | null;
  count: number;
  /** Sum of the waiting times of the counted requests or jobs. */
  waitMs: number;
  millicoreMs: bigint;
  memoryMibMs: bigint;
}
