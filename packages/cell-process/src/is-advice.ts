import type { Advice } from '@acaciahoist/cell-types/advice';

/** True for an answer of the advice service as a helper passes it on. */
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
