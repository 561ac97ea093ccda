import { Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import type { PartitionId } from '@acaciahoist/types/partition-id';
import { addRows } from './add-rows.js';
import type { CellReport } from './cell-report.js';
import { emptyRow } from './empty-row.js';
import type { PartitionPeriod } from './partition-period.js';
import { periodDigest } from './period-digest.js';
import { sortBy } from './sort-by.js';
import type { TotalsRow } from './totals-row.js';

/**
 * Merges one period of all partitions of the cell, given in any order. Two equal parts of a
 * partition are counted once. Fails with `owner-unreachable` when a partition is missing and with
 * `internal` when a part is of another period, does not match its digest or has another digest than
 * a second part of its partition.
 */
export function mergePeriods(
  period: string,
  partitions: readonly PartitionId[],
  parts: readonly PartitionPeriod[],
): Result<CellReport, Failure> {
  const byPartition = new Map<PartitionId, PartitionPeriod>();
  for (const part of parts) {
    const fault = findFault(period, part, byPartition.get(part.partition));
    if (fault !== undefined) return Result.err(Failure.create('internal', fault));
    byPartition.set(part.partition, part);
  }
  const missing = partitions.filter((partition) => !byPartition.has(partition));
  if (missing.length > 0) {
    const message = `no account of partitions ${missing.join(', ')}; repeat when their owners respond`;
    return Result.err(Failure.create('owner-unreachable', message, { missing }));
  }
  const sortedParts = sortBy(byPartition.values(), ({ partition }) => [partition]);
  return sumRows(sortedParts).map((rows) => ({
    version: 1,
    period,
    users: null,
    partitions: sortedParts.map(({ partition, previousDigest, digest }) => ({
      partition,
      previousDigest,
      digest,
    })),
    rows,
    corrections: sortBy(
      sortedParts.flatMap(({ corrections }) => corrections),
      ({ id }) => [id],
    ),
  }));
}

function findFault(
  period: string,
  part: PartitionPeriod,
  earlierPart: PartitionPeriod | undefined,
): string | undefined {
  const subject = `the account of partition ${part.partition}`;
  if (part.period !== period) return `${subject} is of period ${part.period} instead of ${period}`;
  if (part.digest !== null && periodDigest(part) !== part.digest)
    return `${subject} does not have the digest ${part.digest}`;
  if (earlierPart !== undefined && earlierPart.digest !== part.digest)
    return `${subject} was given twice with different digests`;
  return undefined;
}

function sumRows(parts: readonly PartitionPeriod[]): Result<readonly TotalsRow[], Failure> {
  const sums = new Map<string, TotalsRow>();
  for (const row of parts.flatMap(({ rows }) => rows)) {
    const key = JSON.stringify([row.user, row.team]);
    const sum = addRows(sums.get(key) ?? emptyRow(row.user, row.team), row);
    if (sum.isErr) return Result.err(sum.error);
    sums.set(key, sum.value);
  }
  return Result.ok(sortBy(sums.values(), ({ user, team }) => [user, team]));
}
