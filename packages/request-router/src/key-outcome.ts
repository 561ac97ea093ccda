import type { Outcome } from '@acaciahoist/types/outcome';
import type { RecordedReply } from '@acaciahoist/types/recorded-reply';

/** Outcome of a request with an idempotency key. It must be in the journal before the caller is answered. */
export interface KeyOutcome {
  key: string;
  outcome: Outcome;
  reply: RecordedReply | null;
}
