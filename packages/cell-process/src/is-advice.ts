import type { Advice } from '@acaciahoist/cell-types/advice';

/** Checks the shape of a response of the advice service that another process has relayed. */
export function isAdvice(value: unknown): value is Advice {
  const { kind, tickets } = (value ?? {}) as { kind?: unknown; tickets?: unknown };
  if (kind === 'busy' || kind === 'failed') return true;
  return (
    kind === 'allowed' &&
    Array.isArray(tickets) &&
    tickets.every(
      (ticket) =>
        Array.isArray(ticket) && typeof ticket[0] === 'string' && typeof ticket[1] === 'string',
    )
  );
}
