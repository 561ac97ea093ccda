import type { Advice } from '@acaciahoist/cell-types/advice';

/** Checks the shape of an answer of the advice service that another process has relayed. */
export function isAdvice(value: unknown): value is Advice {
  const { kind, tickets } = (value ?? {}) as { kind?: unknown; tickets?: unknown };
  if (kind === 'busy' || kind === 'failed') return true;
  return (
    kind === 'allowed' &&
    Array.isArray(tickets) &&
    tickets.every(
      (row) => Array.isArray(row) && typeof row[0] === 'string' && typeof row[1] === 'string',
    )
  );
}
