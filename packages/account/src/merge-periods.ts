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
 * Merges one period of all partitions of the cell, given in any order. A partition that is given twice
 * with the same digest is counted once. Fails with `owner-unreachable` when a partition is missing and
 * with `internal` when the period of a partition is another one, does not match its digest or is given
 * twice with different digests.
 */
export function mergePeriods(
  period: string,
  partitions: readonly PartitionId[],
  partitionPeriods: readonly PartitionPeriod[],
): Result<CellReport, Failure> {
  const byPartition = new Map<PartitionId, PartitionPeriod>();
  for (const partitionPeriod of partitionPeriods) {
    const fault = findFault(period, partitionPeriod, byPartition.get(partitionPeriod.partition));
    if (fault !== undefined) return Result.err(Failure.create('internal', fault));
    byPartition.set(partitionPeriod.partition, partitionPeriod);
  }
  const missing = partitions.filter((partition) => !byPartition.has(partition));
  if (missing.length > 0) {
    const message = `no account of partitions ${missing.join(', ')}; repeat when their owners respond`;
    return Result.err(Failure.create('owner-unreachable', message, { missing }));
  }
  const sortedPeriods = sortBy(byPartition.values(), ({ partition }) => [partition]);
  return sumRows(sortedPeriods).map((rows) => ({
    version: 1,
    period,
    users: null,
    partitions: sortedPeriods.map(({ partition, previousDigest, digest }) => ({
      partition,
      previousDigest,
      digest,
    })),
    rows,
    corrections: sortBy(
      sortedPeriods.flatMap(({ corrections }) => corrections),
      ({ id }) => [id],
    ),
  }));
}

function findFault(
  period: string,
  partitionPeriod: PartitionPeriod,
  earlierPeriod: PartitionPeriod | undefined,
): string | undefined {
  const subject = `the account of partition ${partitionPeriod.partition}`;
  if (partitionPeriod.period !== period)
    return `${subject} is of period ${partitionPeriod.period} instead of ${period}`;
  if (partitionPeriod.digest !== null && periodDigest(partitionPeriod) !== partitionPeriod.digest)
    return `${subject} does not have the digest ${partitionPeriod.digest}`;
  if (earlierPeriod !== undefined && earlierPeriod.digest !== partitionPeriod.digest)
    return `${subject} was given twice with different digests`;
  return undefined;
}

function sumRows(
  partitionPeriods: readonly PartitionPeriod[],
): Result<readonly TotalsRow[], Failure> {
  const sums = new Map<string, TotalsRow>();
  for (const row of partitionPeriods.flatMap(({ rows }) => rows)) {
    const key = JSON.stringify([row.user, row.team]);
    const sum = addRows(sums.get(key) ?? emptyRow(row.user, row.team), row);
    if (sum.isErr) return Result.err(sum.error);
    sums.set(key, sum.value);
  }
  return Result.ok(sortBy(sums.values(), ({ user, team }) => [user, team]));
}
