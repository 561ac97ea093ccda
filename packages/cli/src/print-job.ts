import type { CommandIo } from './command-io.js';
import { isRecord } from './is-record.js';

/** Prints the status of a job as the server sent it: as JSON, or as a line of key=value pairs. */
export function printJob(io: CommandIo, status: unknown, isJson: boolean, jobId?: string): void {
  if (isJson) {
    io.print(`${JSON.stringify(status)}\n`);
    return;
  }
  const fields: Record<string, unknown> = isRecord(status) ? status : {};
  const tasks = Array.isArray(fields.tasks) ? fields.tasks.length : undefined;
  const printedFields = {
    job: fields.jobId ?? jobId,
    state: fields.state,
    outcome: fields.outcome,
    tasks,
    reason: fields.reason,
  };
  const pairs = Object.entries(printedFields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  io.print(`${pairs.join(' ')}\n`);
}

function formatValue(value: unknown): string {
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  return /^[\w.:-]+$/.test(text) ? text : JSON.stringify(text);
}
