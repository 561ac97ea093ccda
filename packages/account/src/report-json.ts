import type { CellReport } from './cell-report.js';
import type { TotalsRow } from './totals-row.js';

/**
 * Converts a report to its JSON form. Amounts that may exceed 2^53 are decimal strings; null fields
 * are absent.
 */
export function reportJson(report: CellReport): Record<string, unknown> {
  const { users, partitions, rows, corrections, ...rest } = report;
  return {
    ...rest,
    ...(users === null ? {} : { users }),
    partitions: partitions.map(({ partition, previousDigest, digest }) => ({
      partition,
      ...(previousDigest === null ? {} : { previousDigest }),
      ...(digest === null ? {} : { digest }),
    })),
    rows: rows.map(convertRow),
    corrections: corrections.map(({ change, ...correction }) => ({
      ...correction,
      change: convertRow(change),
    })),
  };
}

function convertRow(row: TotalsRow): Record<string, unknown> {
  return {
    ...row,
    millicoreMs: String(row.millicoreMs),
    memoryMibMs: String(row.memoryMibMs),
  };
}
