import { findByToken } from '@acaciahoist/caller-protocol/find-by-token';
import type { CallerCall } from '@acaciahoist/types/caller-call';
import type { TokenGrant } from '@acaciahoist/types/token-grant';

type Permission = 'mayApply' | 'maySubmit' | 'mayReadAccount';

/** Permission that each call requires. Calls that are not listed need no token. */
const REQUIRED_PERMISSIONS: Partial<Record<CallerCall['type'], Permission>> = {
  request: 'maySubmit',
  submit: 'maySubmit',
  status: 'maySubmit',
  cancel: 'maySubmit',
  account: 'mayReadAccount',
  publish: 'mayApply',
  dump: 'mayApply',
};

/** Returns the grant of the token, null when the call needs none, undefined when it is not permitted. */
export function findTokenGrant(
  tokens: readonly TokenGrant[],
  call: CallerCall,
  authorization: string | undefined,
): TokenGrant | null | undefined {
  const permission = REQUIRED_PERMISSIONS[call.type];
  if (permission === undefined) return null;
  const grant = findByToken(tokens, authorization);
  return grant?.[permission] === true ? grant : undefined;
}
