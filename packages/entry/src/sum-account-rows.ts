import { emptyRow } from '@acaciahoist/account/empty-row';
import { sortBy } from '@acaciahoist/account/sort-by';
import type { TotalsRow } from '@acaciahoist/account/totals-row';
import type { AccountRow } from '@acaciahoist/journal/account-row';

/** Adds up the rows of each team, one for each outcome, into one row of totals. Sorted by user and team. */
export function sumAccountRows(rows: readonly AccountRow[]): readonly TotalsRow[] {
  const totals = new Map<string, TotalsRow>();
  for (const row of rows) {
    const teamKey = JSON.stringify([row.user, row.team]);
    const total = totals.get(teamKey) ?? emptyRow(row.user, row.team);
    totals.set(teamKey, {
      ...total,
      counts: { ...total.counts, [row.outcome]: total.counts[row.outcome] + row.count },
      waitMs: total.waitMs + row.waitMs,
      millicoreMs: total.millicoreMs + row.millicoreMs,
      memoryMibMs: total.memoryMibMs + row.mibMs,
    });
  }
  return sortBy(totals.values(), ({ user, team }) => [user, team]);
}
