import { firstDigest } from '@acaciahoist/account/first-digest';
import { periodDigest } from '@acaciahoist/account/period-digest';
import { periodName } from '@acaciahoist/account/period-name';
import type { JournalPolicy } from '@acaciahoist/journal/journal-policy';
import type { Declaration } from '@acaciahoist/types/declaration';
import { sumAccountRows } from './sum-account-rows.js';

/**
 * Creates the account functions of journal replay. They are the same in every process, since the period
 * length is fixed.
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
