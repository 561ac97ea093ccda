import type { PartitionId } from '@acaciahoist/types/partition-id';
import type { Correction } from './correction.js';
import type { TotalsRow } from './totals-row.js';

/** The account of one period over all partitions of the cell. */
export interface CellReport {
  /** Version of the report text. */
  readonly version: 1;
  readonly period: string;
  /** Users whose rows the report contains, sorted; null for all users. */
  readonly users: readonly string[] | null;
  /**
   * Sorted by id. Digests are null for a partition in which the period is open; the report is not
   * final then.
   */
  readonly partitions: readonly {
    readonly partition: PartitionId;
    readonly previousDigest: string | null;
    readonly digest: string | null;
  }[];
  /** Sorted by user and team. */
  readonly rows: readonly TotalsRow[];
  /** Sorted by id. The rows do not include them. */
  readonly corrections: readonly Correction[];
}
