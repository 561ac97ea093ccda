import { firstDigest } from '@acaciahoist/account/first-digest';
import { periodDigest } from '@acaciahoist/account/period-digest';
import { periodName } from '@acaciahoist/account/period-name';
import type { JournalPolicy } from '@acaciahoist/journal/journal-policy';
import type { Declaration } from '@acaciahoist/types/declaration';
import { sumAccountRows } from './sum-account-rows.js';

/**
 * Creates the functions by which journal replay assigns counts to account periods and computes the digest of a
 * closed period. Every process replays alike, because a new declaration cannot change the period length.
 */
export function createJournalPolicy(
  partition: string,
  periodLength: Declaration['period'],
): JournalPolicy {
  return {
    periodOf: (atMs) => periodName(atMs, periodLength),
    digestPeriod: (period, rows, previousDigest) =>
      periodDigest({
        partition,
        period,
        rows: sumAccountRows(rows),
        corrections: [],
        previousDigest: previousDigest === '' ? firstDigest : previousDigest,
      }),
  };
}
