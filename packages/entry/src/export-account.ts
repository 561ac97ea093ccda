import type { AccountRow } from '@acaciahoist/journal/account-row';
import type { JournalState } from '@acaciahoist/journal/journal-state';
import type { PartitionAccount } from '@acaciahoist/types/partition-account';

/** The account of one partition in the form that processes exchange. */
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
