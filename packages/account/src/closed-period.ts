import type { PartitionId } from '@acaciahoist/types/partition-id';
import type { Correction } from './correction.js';
import type { TotalsRow } from './totals-row.js';

/** A closed period of one partition. It never changes. */
export interface ClosedPeriod {
  readonly partition: PartitionId;
  readonly period: string;
  /** Sorted by user and team. */
  readonly rows: readonly TotalsRow[];
  /** Corrections recorded while the period was open, sorted by id. */
  readonly corrections: readonly Correction[];
  /** Digest of the previous closed period of the partition; 64 zeros for the first. */
  readonly previousDigest: string;
  /** SHA-256 of the fields above, hexadecimal. */
  readonly digest: string;
}
