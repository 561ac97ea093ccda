import type { Outcome } from '@acaciahoist/types/outcome';
import type { RecordedReply } from '@acaciahoist/types/recorded-reply';

/** Reply to a request with an idempotency key. */
export interface KeyedReply {
  outcome: Outcome;
  /** Its `body` is null only in a repeated reply whose body was larger than the limit for recording. */
  reply: RecordedReply;
  /** True when the reply is from the journal or from an earlier call that was still running. */
  isRepeated: boolean;
}
