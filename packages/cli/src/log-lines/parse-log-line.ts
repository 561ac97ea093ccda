import { civilDate } from '@acaciahoist/account/civil-date';
import type { LogLine } from './log-line.js';

const DAY_MS = 86_400_000;
const ISO_TIME = /^(\d{4})-(\d\d)-(\d\d)T(\d\d):(\d\d):(\d\d(?:\.\d+)?)Z$/;
/** A time in seconds, which a tool that collects logs may put before each line. */
const SECONDS = /^-?\d+(?:\.\d+)?$/;
/** A field and the space after it. Quoted values are JSON strings. */
const FIELD = /([A-Za-z]\w*)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?:\s+|$)/y;
const FIRST_FIELD = /(?:^|\s)(?=(?:time|level|event)=)/;

/**
 * Parses a line of key=value pairs, with or without a time and a machine name in front. Returns undefined
 * for a line that was cut off, has no event or no time.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = FIRST_FIELD.exec(text);
  if (start === null) return undefined;
  const words = text.slice(0, start.index).trim().split(/\s+/);
  const fields = parseFields(text.slice(start.index).trim());
  const event = fields?.get('event');
  if (fields === undefined || event === undefined || event === '') return undefined;
  const [firstWord = ''] = words;
  const collectedMs = parseTime(firstWord);
  const wallText = fields.get('time') ?? '';
  const wallMs = parseTime(wallText);
  if (collectedMs === undefined && wallMs === undefined) return undefined;
  const machine = words.slice(collectedMs === undefined ? 0 : 1).at(-1) ?? '';
  const process = fields.get('process') ?? machine;
  for (const name of ['time', 'event', 'process']) fields.delete(name);
  const timeText = collectedMs === undefined ? wallText : firstWord;
  return { collectedMs, wallMs, timeText, process, event, fields };
}

/** Returns undefined unless the whole text consists of fields. */
function parseFields(text: string): Map<string, string> | undefined {
  const fields = new Map<string, string>();
  FIELD.lastIndex = 0;
  while (FIELD.lastIndex < text.length) {
    const [, name = '', value = ''] = FIELD.exec(text) ?? [];
    if (name === '') return undefined;
    const unquoted = value.startsWith('"') ? unquote(value) : value;
    if (unquoted === undefined) return undefined;
    fields.set(name, unquoted);
  }
  return fields;
}

function unquote(text: string): string | undefined {
  try {
    return String(JSON.parse(text));
  } catch {
    return undefined;
  }
}

function parseTime(text: string): number | undefined {
  // Rounded to microseconds, so that no binary fraction remains.
  if (SECONDS.test(text)) return Math.round(Number(text) * 1_000_000) / 1_000;
  const match = ISO_TIME.exec(text);
  if (match === null) return undefined;
  const [year = 0, month = 0, day = 0, hour = 0, minute = 0, second = 0] = match
    .slice(1)
    .map(Number);
  const days = civilDate.toDays(year, month, day);
  return days * DAY_MS + ((hour * 60 + minute) * 60 + second) * 1_000;
}
