import { civilDate } from './civil-date.js';
import { periodName } from './period-name.js';

const DAY_MS = 86_400_000;

/** Returns the first ms of a period and of the next period; undefined when the name is invalid. */
export function periodBounds(name: string): { startMs: number; endMs: number } | undefined {
  const match = /^([0-9]{4})-([0-9]{2})(?:-([0-9]{2}))?$/.exec(name);
  if (match === null) return undefined;
  const [year, month, day] = match.slice(1).map((part) => (part ? Number(part) : undefined));
  if (year === undefined || month === undefined) return undefined;
  const startMs = civilDate.toDays(year, month, day ?? 1) * DAY_MS;
  // A month above 12 or a day after the end of its month gives the name of another period.
  if (periodName(startMs, day === undefined ? 'month' : 'day') !== name) return undefined;
  const endDay = day === undefined ? civilDate.toDays(year, month + 1, 1) : startMs / DAY_MS + 1;
  return { startMs, endMs: endDay * DAY_MS };
}
