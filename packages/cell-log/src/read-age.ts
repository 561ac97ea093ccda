import type { Instant } from '@acaciahoist/clock/instant';

/**
 * Upper bound in ms of how long ago the answer of the store to a read was true. An answer with records
 * is true as of the time at which it was asked for at the earliest: it may have been under way for long.
 * An empty one to a read that waits is true as of the end of the wait, so that a quiet log does not age.
 */
export function readAge(requestedAt: Instant, waitMs: number, records: number): number {
  const elapsedMs = requestedAt.ageMs();
  return records > 0 || elapsedMs < waitMs ? elapsedMs : elapsedMs - waitMs;
}
