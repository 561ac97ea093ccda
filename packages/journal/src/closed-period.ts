import type { AccountRow } from './account-row.js';

/** Totals of a closed period. They never change. */
export interface ClosedPeriod {
  period: string;
  /** Sorted by user, team and outcome. */
  rows: readonly AccountRow[];
  /** Digest of the period that was closed before this one; empty for the first. */
  previousDigest: string;
  digest: string;
}
