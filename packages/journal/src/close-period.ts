import type { AccountRow } from './account-row.js';
import type { JournalPolicy } from './journal-policy.js';
import type { JournalState } from './journal-state.js';

function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

function compareRows(left: AccountRow, right: AccountRow): number {
  return (
    compareText(left.user, right.user) ||
    compareText(left.team, right.team) ||
    compareText(left.outcome, right.outcome)
  );
}

function closeSinglePeriod(state: JournalState, policy: JournalPolicy, period: string): void {
  const rows = [...(state.openPeriods.get(period)?.values() ?? [])].sort(compareRows);
  const previousDigest = state.closedPeriods.at(-1)?.digest ?? '';
  const digest = policy.digestPeriod(period, rows, previousDigest);
  state.closedPeriods.push({ period, rows, previousDigest, digest });
  state.openPeriods.delete(period);
}

/**
 * Closes a period after all earlier open periods. Returns false when this or a later period is
 * already closed, or when the period is not over at `atMs`.
 */
export function closePeriod(
  state: JournalState,
  policy: JournalPolicy,
  period: string,
  atMs: number,
): boolean {
  const currentPeriod = policy.periodOf(atMs);
  const lastClosed = state.closedPeriods.at(-1)?.period ?? '';
  if (period <= lastClosed || period >= currentPeriod) return false;
  if (currentPeriod > state.openPeriod) state.openPeriod = currentPeriod;
  const earlierPeriods = [...state.openPeriods.keys()]
    .filter((openPeriod) => openPeriod < period)
    .sort(compareText);
  for (const earlierPeriod of earlierPeriods) closeSinglePeriod(state, policy, earlierPeriod);
  closeSinglePeriod(state, policy, period);
  return true;
}
