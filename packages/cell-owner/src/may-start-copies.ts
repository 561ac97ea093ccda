import type { OwnerContext } from './owner-context.js';
import { limits } from './limits.js';

/**
 * False while the store is unavailable, and while second runs may exist that are not recorded: after a snapshot without
 * them, and for some time after the claim of an owner that does not know them.
 */
export function mayStartCopies({
  state,
  proposals,
  lastAppendAgeMs,
}: {
  state: { copies: Pick<OwnerContext['state']['copies'], 'isComplete' | 'allowedFromMs'> } & Pick<
    OwnerContext['state'],
    'cellTimeMs'
  >;
  proposals: Pick<OwnerContext['proposals'], 'oldestStartAgeMs'>;
  lastAppendAgeMs: () => number;
}): boolean {
  return (
    state.copies.isComplete &&
    state.cellTimeMs >= state.copies.allowedFromMs &&
    lastAppendAgeMs() <= limits.maxAppendAgeForStopMs &&
    proposals.oldestStartAgeMs() <= limits.staleProposalMs
  );
}
