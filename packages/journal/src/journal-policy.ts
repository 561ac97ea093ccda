import type { AccountRow } from './account-row.js';

/** Functions that replay calls. Every process of a cell must use the same functions. */
export interface JournalPolicy {
  /** Returns the name of the account period of a wall-clock time; names sort in order of time. */
  periodOf(atMs: number): string;
  /**
   * Returns the digest of a closed period over its sorted rows and the digest of the previous
   * period.
   */
  digestPeriod(period: string, rows: readonly AccountRow[], previousDigest: string): string;
}
