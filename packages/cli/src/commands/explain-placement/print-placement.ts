import type { CommandIo } from '../../command-io.js';
import { isRecord } from '../../is-record.js';

/** Prints a report of where a job would go: as JSON, or as a sentence, the answer of the front, and a line for each step. */
export function printPlacement(io: CommandIo, report: unknown, isJson: boolean): void {
  if (isJson || !isRecord(report)) {
    io.print(`${JSON.stringify(report)}\n`);
    return;
  }
  io.print(`${String(report.reason)}\n`);
  if (isRecord(report.front)) {
    const { answer, ...front } = report.front;
    io.print(`  front: ${String(answer)} ${formatFields(front)}\n`);
  }
  if (!isRecord(report.placement)) return;
  const { queue, priority, team, steps, leftOutSteps } = report.placement;
  const stepRecords = Array.isArray(steps) ? steps.filter(isRecord) : [];
  io.print(`  placement: ${formatFields({ queue, priority, team, leftOutSteps })}\n`);
  for (const { step, reason, ...figures } of stepRecords)
    io.print(`    ${String(step)}: ${String(reason)}\n      ${formatFields(figures)}\n`);
}

function formatFields(fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(' ');
}

/** Formats texts without quotes where possible, lists with commas, and records as `name:value`. */
function formatValue(value: unknown): string {
  if (typeof value === 'string') return /\s/.test(value) ? JSON.stringify(value) : value;
  if (Array.isArray(value)) return value.map(formatValue).join(',');
  if (!isRecord(value)) return JSON.stringify(value);
  if ('worker' in value) return `${formatValue(value.worker)}:${formatValue(value.tasks)}`;
  return Object.entries(value)
    .map(([name, entry]) => `${name}:${formatValue(entry)}`)
    .join(',');
}
