import type { Outcome } from '@acaciahoist/types/outcome';
import type { RecordedReply } from '@acaciahoist/types/recorded-reply';

/** State of the idempotency key of one request. Times are wall-clock ms unless stated otherwise. */
export interface JournalKey {
  key: string;
  /** SHA-256 of the service name and the request body. */
  requestDigest: string;
  service: string;
  user: string;
  team: string;
  claimedAtMs: number;
  /** Null while the request may still be running. */
  outcome: Outcome | null;
  reply: RecordedReply | null;
  doneAtMs: number | null;
  /**
   * Time of the partition at the outcome. Absent without an outcome, and for an outcome from a snapshot of an
   * earlier version, where it counts as 0.
   */
  keptSinceMs?: number;
}
