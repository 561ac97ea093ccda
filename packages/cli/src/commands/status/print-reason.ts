import type { CommandIo } from '../../command-io.js';
import { isRecord } from '../../is-record.js';

/** Prints the body of a `why` response: the reason of a decision and its data, one value, or one record of a list, on each line. */
export function printReason(io: CommandIo, body: unknown, isJson: boolean): void {
  if (isJson || !isRecord(body)) {
    io.print(`${JSON.stringify(body)}\n`);
    return;
  }
  const { reason, ...data } = body;
  if (typeof reason === 'string') io.print(`${reason}\n`);
  for (const [name, value] of Object.entries(data)) {
    if (Array.isArray(value) && value.length > 0 && value.every(isRecord)) {
      io.print(`  ${name}:\n`);
      for (const entry of value) io.print(`    ${formatFields(entry)}\n`);
    } else io.print(`  ${name}: ${formatValue(value)}\n`);
  }
}

function formatFields(fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields)
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(' ');
}

function formatValue(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
