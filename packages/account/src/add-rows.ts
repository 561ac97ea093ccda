import { Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import type { Outcome } from '@acaciahoist/types/outcome';
import { outcomes } from './outcomes.js';
import type { TotalsRow } from './totals-row.js';

/**
 * Adds the totals of two rows; user and team are those of `left`. Fails with `internal` when a count or
 * the waiting time exceeds the safe integers, 2^53.
 */
export function addRows(left: TotalsRow, right: TotalsRow): Result<TotalsRow, Failure> {
  const counts = { ...left.counts };
  for (const outcome of outcomes) counts[outcome] += right.counts[outcome];
  const waitMs = left.waitMs + right.waitMs;
  const unsafeTotal = findUnsafeTotal(counts, waitMs);
  if (unsafeTotal !== undefined) {
    const message = `the total ${unsafeTotal} of ${left.user}/${left.team} exceeds 2^53; close the period earlier`;
    return Result.err(Failure.create('internal', message));
  }
  return Result.ok({
    user: left.user,
    team: left.team,
    counts,
    waitMs,
    millicoreMs: left.millicoreMs + right.millicoreMs,
    memoryMibMs: left.memoryMibMs + right.memoryMibMs,
  });
}

/** Returns the name of a total that is not a safe integer. */
function findUnsafeTotal(
  counts: Readonly<Record<Outcome, number>>,
  waitMs: number,
): string | undefined {
  if (!Number.isSafeInteger(waitMs)) return 'waitMs';
  return outcomes.find((outcome) => !Number.isSafeInteger(counts[outcome]));
}
