import type { Fault } from './fault.js';

/** Formats a fault as one line of text: `file:line:column: path: problem; correction`. */
export function formatFault(fault: Fault): string {
  const location = fault.line === 0 ? fault.file : `${fault.file}:${fault.line}:${fault.column}`;
  const path = fault.path === '' ? '' : `${fault.path}: `;
  return `${location}: ${path}${fault.problem}; ${fault.correction}`;
}
