import type { CellReport } from './cell-report.js';
import { sortBy } from './sort-by.js';

/** Limits a report to the rows and corrections of some users. Its text names them in the header. */
export function scopeReport(report: CellReport, users: readonly string[]): CellReport {
  const userNames = new Set(users);
  return {
    ...report,
    users: sortBy(userNames, (user) => [user]),
    rows: report.rows.filter(({ user }) => userNames.has(user)),
    corrections: report.corrections.filter(({ change }) => userNames.has(change.user)),
  };
}
