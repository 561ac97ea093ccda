import type Result from 'true-myth/result';
import { firstDigest } from '@acaciahoist/account/first-digest';
import { mergePeriods } from '@acaciahoist/account/merge-periods';
import type { CellReport } from '@acaciahoist/account/cell-report';
import type { PartitionPeriod } from '@acaciahoist/account/partition-period';
import type { Failure } from '@acaciahoist/errors';
import type { Outcome } from '@acaciahoist/types/outcome';
import type { PartitionAccount } from '@acaciahoist/types/partition-account';
import { sumAccountRows } from './sum-account-rows.js';

/** Builds the report of one period of the cell from the accounts of its partitions. */
export function buildReport(
  period: string,
  partitions: readonly string[],
  accounts: readonly PartitionAccount[],
): Result<CellReport, Failure> {
  return mergePeriods(
    period,
    partitions,
    accounts.map((account) => buildPartitionPeriod(period, account)),
  );
}

function buildPartitionPeriod(period: string, account: PartitionAccount): PartitionPeriod {
  const { partition } = account;
  const accountPeriod = account.periods.find((candidate) => candidate.period === period);
  const rows = sumAccountRows(
    (accountPeriod?.rows ?? []).map((row) => ({
      ...row,
      outcome: row.outcome as Outcome,
      millicoreMs: BigInt(row.millicoreMs),
      mibMs: BigInt(row.mibMs),
    })),
  );
  if (accountPeriod?.isClosed !== true) {
    return { partition, period, rows, corrections: [], previousDigest: null, digest: null };
  }
  const previousDigest =
    accountPeriod.previousDigest === '' ? firstDigest : accountPeriod.previousDigest;
  return { partition, period, rows, corrections: [], previousDigest, digest: accountPeriod.digest };
}
