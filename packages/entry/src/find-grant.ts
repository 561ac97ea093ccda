import { findPrincipal } from '@acaciahoist/caller-protocol/find-principal';
import type { CallerCall } from '@acaciahoist/types/caller-call';
import type { TokenGrant } from '@acaciahoist/types/token-grant';

type Permission = 'mayApply' | 'maySubmit' | 'mayReadAccount';

/** What each call needs; calls that are missing here are open to everybody. */
const REQUIRED_PERMISSIONS: Partial<Record<CallerCall['type'], Permission>> = {
  request: 'maySubmit',
  submit: 'maySubmit',
  status: 'maySubmit',
  cancel: 'maySubmit',
  account: 'mayReadAccount',
  publish: 'mayApply',
  dump: 'mayApply',
};

/** The token's grant, null when the call needs none, or undefined when it is not permitted. */
export function findGrant(
  tokens: readonly TokenGrant[],
  call: CallerCall,
  authorization: string | undefined,
): TokenGrant | null | undefined {
  const permission = REQUIRED_PERMISSIONS[call.type];
  if (permission === undefined) return null;
  const grant = findPrincipal(tokens, authorization);
  return grant?.[permission] === true ? grant : undefined;
}
