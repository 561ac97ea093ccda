const UNQUOTED_VALUE = /^[\w.:/@+-]+$/;
/** Fields that bunyan adds and that the line shows in another form or not at all. */
const OMITTED_FIELDS = new Set(['name', 'hostname', 'pid', 'level', 'msg', 'time', 'v']);

/** Formats a bunyan record as one line of key=value pairs. Quotes values with spaces or special characters. */
export function formatEvent(record: Readonly<Record<string, unknown>>, levelName: string): string {
  const time =
    record.time instanceof Object ? (record.time as { toISOString(): string }).toISOString() : '';
  const pairs = [`time=${time}`, `level=${levelName}`, `event=${String(record.msg)}`];
  for (const [key, value] of Object.entries(record)) {
    if (!OMITTED_FIELDS.has(key) && value !== undefined) pairs.push(`${key}=${formatValue(value)}`);
  }
  return pairs.join(' ');
}

function formatValue(value: unknown): string {
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  return UNQUOTED_VALUE.test(text) ? text : JSON.stringify(text);
}
