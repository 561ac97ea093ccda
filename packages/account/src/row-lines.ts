import type { Correction } from './correction.js';
import { formatName } from './format-name.js';
import { outcomes } from './outcomes.js';
import type { TotalsRow } from './totals-row.js';

/** Formats the lines of rows and corrections, without line feeds. Digests cover this format. */
export const rowLines = {
  formatAmounts(row: TotalsRow): string {
    const counts = outcomes.map((outcome) => `${outcome}=${row.counts[outcome]}`);
    const totals = `waitMs=${row.waitMs} millicoreMs=${String(row.millicoreMs)} memoryMibMs=${String(row.memoryMibMs)}`;
    return `${counts.join(' ')} ${totals}`;
  },

  formatRow(row: TotalsRow): string {
    return `row ${formatName(row.user)} ${formatName(row.team)} ${rowLines.formatAmounts(row)}`;
  },

  formatCorrection({ id, corrects, operator, reason, change }: Correction): string {
    const subject = `${formatName(id)} of ${formatName(corrects)}`;
    const names = `${formatName(change.user)} ${formatName(change.team)}`;
    const origin = `by ${formatName(operator)} for ${JSON.stringify(reason)}`;
    return `correction ${subject} ${names} ${rowLines.formatAmounts(change)} ${origin}`;
  },
};
