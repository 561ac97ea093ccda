import type { Failure } from '@acaciahoist/errors';

/** Why a front does not accept a new job. */
export interface Refusal<Reason = 'no-room' | 'gang-beyond-quota' | 'team-beyond-rate'> {
  reason: Reason;
  failure: Failure;
}
