import { Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import type { AccountEntry } from './account-entry.js';
import { emptyRow } from './empty-row.js';
import type { TotalsRow } from './totals-row.js';

/**
 * Converts an entry to a row. Fails with `bad-request` when an amount is negative or not an integer, or
 * when an entry without an outcome has a count.
 */
export function convertEntryToRow(entry: AccountEntry): Result<TotalsRow, Failure> {
  const isCount = (value: number) => Number.isSafeInteger(value) && value >= 0;
  const isValid =
    isCount(entry.count) &&
    isCount(entry.waitMs) &&
    entry.millicoreMs >= 0n &&
    entry.memoryMibMs >= 0n &&
    (entry.outcome !== null || entry.count === 0);
  if (!isValid) {
    const amounts = `count ${entry.count}, waitMs ${entry.waitMs}, millicoreMs ${String(entry.millicoreMs)}, memoryMibMs ${String(entry.memoryMibMs)}, outcome ${String(entry.outcome)}`;
    const message = `the account entry of ${entry.user}/${entry.team} has an invalid amount: ${amounts}; give integers from 0, and the count 0 without an outcome`;
    return Result.err(Failure.create('bad-request', message));
  }
  const row = emptyRow(entry.user, entry.team);
  const { outcome, count, waitMs, millicoreMs, memoryMibMs } = entry;
  const counts = outcome === null ? row.counts : { ...row.counts, [outcome]: count };
  return Result.ok({ ...row, counts, waitMs, millicoreMs, memoryMibMs });
}
