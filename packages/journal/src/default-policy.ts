import { createHash } from 'node:crypto';
import type { AccountRow } from './account-row.js';
import type { JournalPolicy } from './journal-policy.js';

const DAY_MS = 86_400_000;
/** Days from 0000-03-01 to 1970-01-01 in the proleptic Gregorian calendar. */
const EPOCH_DAY = 719_468;
/** Days in an era of 400 years. */
const ERA_DAYS = 146_097;

/**
 * Formats the UTC day as `yyyy-mm-dd` in the proleptic Gregorian calendar. Years are counted from
 * March, in eras of 400 years, so that the leap day is the last day of a year. Any five consecutive
 * months from March to January have 153 days; the formulas of month and day use this.
 */
function formatUtcDay(atMs: number): string {
  const daysSinceYear0 = Math.floor(atMs / DAY_MS) + EPOCH_DAY;
  const era = Math.floor(daysSinceYear0 / ERA_DAYS);
  const dayOfEra = daysSinceYear0 - era * ERA_DAYS;
  const leapDays =
    Math.floor(dayOfEra / 1_460) - Math.floor(dayOfEra / 36_524) + Math.floor(dayOfEra / 146_096);
  const yearOfEra = Math.floor((dayOfEra - leapDays) / 365);
  const yearDays = 365 * yearOfEra + Math.floor(yearOfEra / 4) - Math.floor(yearOfEra / 100);
  const dayOfYear = dayOfEra - yearDays;
  const monthsSinceMarch = Math.floor((5 * dayOfYear + 2) / 153);
  const day = dayOfYear - Math.floor((153 * monthsSinceMarch + 2) / 5) + 1;
  const month = monthsSinceMarch < 10 ? monthsSinceMarch + 3 : monthsSinceMarch - 9;
  const year = yearOfEra + era * 400 + (month <= 2 ? 1 : 0);
  const pad = (value: number, width: number) => String(value).padStart(width, '0');
  return `${pad(year, 4)}-${pad(month, 2)}-${pad(day, 2)}`;
}

function formatRow(row: AccountRow): string {
  const names = [row.user, row.team, row.outcome].map((name) => JSON.stringify(name));
  return [...names, row.count, row.waitMs, row.millicoreMs, row.mibMs].map(String).join(' ');
}

function digestRows(period: string, rows: readonly AccountRow[], previousDigest: string): string {
  const text = [previousDigest, period, ...rows.map(formatRow)].join('\n');
  return createHash('sha256').update(text).digest('hex');
}

/**
 * Periods of one UTC day with a chain of SHA-256 digests, for use without the package `account`.
 */
export const defaultPolicy: JournalPolicy = { periodOf: formatUtcDay, digestPeriod: digestRows };
