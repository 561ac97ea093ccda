import type { Outcome } from '@acaciahoist/types/outcome';
import type { RecordedReply } from '@acaciahoist/types/recorded-reply';

/** What the owner's journal contains about an idempotency key: its claim and, if recorded, its outcome. */
export interface KeyRecord {
  requestDigest: string;
  /** The recorded outcome, or undefined while there is none. */
  done: { outcome: Outcome; reply: RecordedReply | null } | undefined;
}
