import type { Declaration } from '@acaciahoist/types/declaration';
import { civilDate } from './civil-date.js';

const DAY_MS = 86_400_000;

/** Returns the name of the period of a wall-clock time, in UTC: `2026-12` or `2026-12-04`. */
export function periodName(wallMs: number, length: Declaration['period']): string {
  const { year, month, day } = civilDate.fromDays(Math.floor(wallMs / DAY_MS));
  const monthName = `${pad(year, 4)}-${pad(month, 2)}`;
  return length === 'month' ? monthName : `${monthName}-${pad(day, 2)}`;
}

function pad(value: number, digits: number): string {
  return String(value).padStart(digits, '0');
}
