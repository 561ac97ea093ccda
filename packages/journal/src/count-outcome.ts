import type { AccountRow } from './account-row.js';
import type { JournalPolicy } from './journal-policy.js';
import type { JournalState } from './journal-state.js';

/** Returns the period of `atMs` or, when it is already closed, the latest open period. */
function choosePeriod(state: JournalState, policy: JournalPolicy, atMs: number): string {
  const period = policy.periodOf(atMs);
  if (period > state.openPeriod) state.openPeriod = period;
  const lastClosed = state.closedPeriods.at(-1)?.period ?? '';
  return period > lastClosed ? period : state.openPeriod;
}

/**
 * Adds amounts to the row of their user, team and outcome in the period of `atMs` or, when it is
 * already closed, in the latest open period.
 */
export function countOutcome(
  state: JournalState,
  policy: JournalPolicy,
  atMs: number,
  amounts: AccountRow,
): void {
  const period = choosePeriod(state, policy, atMs);
  let rows = state.openPeriods.get(period);
  if (rows === undefined) {
    rows = new Map();
    state.openPeriods.set(period, rows);
  }
  const rowKey = JSON.stringify([amounts.user, amounts.team, amounts.outcome]);
  const row = rows.get(rowKey);
  if (row === undefined) {
    rows.set(rowKey, { ...amounts });
    return;
  }
  row.count += amounts.count;
  row.waitMs += amounts.waitMs;
  row.millicoreMs += amounts.millicoreMs;
  row.mibMs += amounts.mibMs;
}
