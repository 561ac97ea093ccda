import type { Instant } from '@acaciahoist/clock/instant';

/**
 * Returns an upper bound in ms of the age of an answer of the store to a read. An answer with
 * records may be as old as the request, because it may have been under way all the time. An empty
 * answer to a read that waits is current as of the end of the wait, so that the replica of a quiet
 * log does not age.
 */
export function computeReadAgeMs(requestedAt: Instant, waitMs: number, records: number): number {
  const elapsedMs = requestedAt.ageMs();
  return records > 0 || elapsedMs < waitMs ? elapsedMs : elapsedMs - waitMs;
}
