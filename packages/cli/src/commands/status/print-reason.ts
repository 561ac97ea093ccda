import type { CommandIo } from '../../command-io.js';
import { isRecord } from '../../is-record.js';

/** Prints the reason of a decision and the data it is based on, one value on each line. */
export function printReason(io: CommandIo, answer: unknown, isJson: boolean): void {
  if (isJson || !isRecord(answer)) {
    io.print(`${JSON.stringify(answer)}\n`);
    return;
  }
  const { reason, ...data } = answer;
  if (typeof reason === 'string') io.print(`${reason}\n`);
  for (const [name, value] of Object.entries(data))
    io.print(`  ${name}: ${typeof value === 'string' ? value : JSON.stringify(value)}\n`);
}
