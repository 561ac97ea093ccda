import { DRIFT_FACTOR } from '@acaciahoist/slot-pool/drift-factor';
import { GRANT_MARGIN_MS } from '@acaciahoist/slot-pool/grant-margin';
import type { QuarantineTimes } from '@acaciahoist/slot-pool/quarantine-times';
import type { PredecessorExpiry } from './predecessor-expiry.js';

/**
 * Returns the times by which the unreported grants of predecessors have certainly ended. A pool keeps the slot of
 * one of its own grants for as long after the grant.
 */
export function computeQuarantineTimes(
  { leaseUntilMs, holdUntilMs }: PredecessorExpiry,
  maxDeadlineMs: number,
): QuarantineTimes {
  const longestGrantMs = maxDeadlineMs * DRIFT_FACTOR + GRANT_MARGIN_MS;
  return {
    leaseGrantsEndAtMs: leaseUntilMs + longestGrantMs,
    holdGrantsEndAtMs: holdUntilMs + longestGrantMs,
  };
}
