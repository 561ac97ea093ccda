import { createHash } from 'node:crypto';
import type { ClosedPeriod } from './closed-period.js';
import { formatName } from './format-name.js';
import { rowLines } from './row-lines.js';

/** Computes the SHA-256 of the lines of a closed period and the previous digest, hexadecimal. */
export function periodDigest(period: Omit<ClosedPeriod, 'digest'>): string {
  const lines = [
    'acaciahoist account period 1',
    `partition ${formatName(period.partition)}`,
    `period ${formatName(period.period)}`,
    `previous ${period.previousDigest}`,
    ...period.rows.map((row) => rowLines.formatRow(row)),
    ...period.corrections.map((correction) => rowLines.formatCorrection(correction)),
  ];
  return createHash('sha256')
    .update(`${lines.join('\n')}\n`)
    .digest('hex');
}
