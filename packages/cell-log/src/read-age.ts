import type { Instant } from '@acaciahoist/clock/instant';

/**
 * Returns an upper bound in ms of the age of the store's response to a read. A response with
 * records may be as old as the request, because the store may have sent it at once. An empty
 * response to a read that waits for records is current as of the end of the wait, so that the
 * replica of a quiet log does not age.
 */
export function computeReadAgeMs(
  requestedAt: Instant,
  waitMs: number,
  recordCount: number,
): number {
  const elapsedMs = requestedAt.ageMs();
  return recordCount > 0 || elapsedMs < waitMs ? elapsedMs : elapsedMs - waitMs;
}
