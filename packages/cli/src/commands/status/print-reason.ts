import type { CommandIo } from '../../command-io.js';
import { isRecord } from '../../is-record.js';

/** Prints the body of a `why` response: the reason of a decision and its data, one value on each line. */
export function printReason(io: CommandIo, body: unknown, isJson: boolean): void {
  if (isJson || !isRecord(body)) {
    io.print(`${JSON.stringify(body)}\n`);
    return;
  }
  const { reason, ...data } = body;
  if (typeof reason === 'string') io.print(`${reason}\n`);
  for (const [name, value] of Object.entries(data))
    io.print(`  ${name}: ${typeof value === 'string' ? value : JSON.stringify(value)}\n`);
}
