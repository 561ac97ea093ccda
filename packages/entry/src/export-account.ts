import type { AccountRow } from '@acaciahoist/journal/account-row';
import type { JournalState } from '@acaciahoist/journal/journal-state';
import type { PartitionAccount } from '@acaciahoist/types/partition-account';

/** Converts the account of one partition into the form that processes exchange, with totals as text. */
export function exportAccount(partition: string, state: JournalState): PartitionAccount {
  const closedPeriods = state.closedPeriods.map(({ period, rows, previousDigest, digest }) => ({
    period,
    isClosed: true,
    previousDigest,
    digest,
    rows: rows.map(exportRow),
  }));
  const openPeriods = [...state.openPeriods].map(([period, rows]) => ({
    period,
    isClosed: false,
    previousDigest: '',
    digest: '',
    rows: [...rows.values()].map(exportRow),
  }));
  return { partition, openPeriod: state.openPeriod, periods: [...closedPeriods, ...openPeriods] };
}

function exportRow(row: AccountRow): PartitionAccount['periods'][number]['rows'][number] {
  const { user, team, outcome, count, waitMs, millicoreMs, mibMs } = row;
  return {
    user,
    team,
    outcome,
    count,
    waitMs,
    millicoreMs: String(millicoreMs),
    mibMs: String(mibMs),
  };
}
