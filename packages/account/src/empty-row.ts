import type { TotalsRow } from './totals-row.js';

/** Creates a row whose totals are all 0. */
export function emptyRow(user: string, team: string): TotalsRow {
  const counts = { completed: 0, late: 0, refused: 0, cancelled: 0, failed: 0, unknown: 0 };
  return { user, team, counts, waitMs: 0, millicoreMs: 0n, memoryMibMs: 0n };
}
