import type { Outcome } from '@acaciahoist/types/outcome';
import type { RecordedReply } from '@acaciahoist/types/recorded-reply';

/** State of an idempotency key in the owner's journal. */
export interface KnownKey {
  requestDigest: string;
  /** The recorded outcome, or undefined while there is none. */
  done: { outcome: Outcome; reply: RecordedReply | null } | undefined;
}
