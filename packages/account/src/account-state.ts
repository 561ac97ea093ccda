import type { PartitionId } from '@acaciahoist/types/partition-id';
import type { ClosedPeriod } from './closed-period.js';
import type { Correction } from './correction.js';
import type { TotalsRow } from './totals-row.js';

/** The account of a partition in a form that a snapshot can store. It contains `bigint` values. */
export interface AccountState {
  readonly partition: PartitionId;
  /** Closed periods in the order in which they were closed. */
  readonly closed: readonly ClosedPeriod[];
  readonly open: readonly {
    readonly period: string;
    readonly rows: readonly TotalsRow[];
    readonly corrections: readonly Correction[];
  }[];
}
