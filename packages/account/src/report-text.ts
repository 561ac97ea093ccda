import { createHash } from 'node:crypto';
import type { CellReport } from './cell-report.js';
import { formatName } from './format-name.js';
import { outcomes } from './outcomes.js';
import { rowLines } from './row-lines.js';
import type { TotalsRow } from './totals-row.js';

/**
 * Formats a report for printing and for verification years later. In version 1 every line ends with
 * a line feed, and the last line has the SHA-256 of the lines before it. Equal reports give equal
 * bytes.
 */
export function reportText(report: CellReport): string {
  const openCount = report.partitions.filter(({ digest }) => digest === null).length;
  const state =
    openCount === 0
      ? 'closed'
      : `open, not final: ${openCount} of ${report.partitions.length} partitions`;
  const users = report.users === null ? '(all)' : report.users.map(formatName).join(' ');
  const lines = [
    `acaciahoist account report ${report.version}`,
    `period ${formatName(report.period)} UTC`,
    `state ${state}`,
    `users ${users}`,
    ...report.partitions.map(
      ({ partition, previousDigest, digest }) =>
        `partition ${formatName(partition)} previous ${previousDigest ?? 'none'} digest ${digest ?? 'none'}`,
    ),
    ...report.rows.map((row) => rowLines.formatRow(row)),
    formatTotal(report.rows),
    ...report.corrections.map((correction) => rowLines.formatCorrection(correction)),
  ];
  const body = `${lines.join('\n')}\n`;
  return `${body}end ${createHash('sha256').update(body).digest('hex')}\n`;
}

/**
 * Formats the total line. The sum over all teams may exceed 2^53 when no team does, so all amounts are
 * added as `bigint`.
 */
function formatTotal(rows: readonly TotalsRow[]): string {
  const sum = (amountOf: (row: TotalsRow) => number | bigint) =>
    String(rows.reduce((total, row) => total + BigInt(amountOf(row)), 0n));
  const counts = outcomes.map((outcome) => `${outcome}=${sum((row) => row.counts[outcome])}`);
  const waitMs = sum((row) => row.waitMs);
  const millicoreMs = sum((row) => row.millicoreMs);
  const memoryMibMs = sum((row) => row.memoryMibMs);
  return `total ${counts.join(' ')} waitMs=${waitMs} millicoreMs=${millicoreMs} memoryMibMs=${memoryMibMs}`;
}
