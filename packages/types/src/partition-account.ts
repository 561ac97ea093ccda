/** Account rows of one partition, sent between processes. 64-bit amounts are decimal strings. */
export interface PartitionAccount {
  partition: string;
  openPeriod: string;
  periods: readonly {
    period: string;
    isClosed: boolean;
    /** Digest of the period closed before it; empty for the first closed period and for open ones. */
    previousDigest: string;
    /** Empty for open periods. */
    digest: string;
    rows: readonly {
      user: string;
      team: string;
      outcome: string;
      count: number;
      waitMs: number;
      millicoreMs: string;
      mibMs: string;
    }[];
  }[];
}
