import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { OwnerContext } from './owner-context.js';

type Renewal = Extract<CellRecord, { kind: 'renew' }>;

/** Returns a renewal with these fields; `claimedAtMs` is the monotonic time at which this process applied its claim. */
export function createRenewal(
  { clock, token, state }: Pick<OwnerContext, 'clock' | 'token' | 'state'>,
  claimedAtMs: number,
  fields: Pick<Renewal, 'copies' | 'stalls'>,
): Renewal {
  return {
    kind: 'renew',
    wallMs: clock.wallMs(),
    token,
    termMs: Math.floor(clock.monotonicMs() - claimedAtMs),
    asOfOffset: state.nextOffset,
    ...fields,
  };
}
