import type Result from 'true-myth/result';
import type { Failure } from '@acaciahoist/errors';
import type { PeerCallType } from '@acaciahoist/peer-protocol/peer-call-type';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';

/**
 * Calls an entry process by its peer address. Fails with `owner-unreachable` when nothing was sent, with
 * `outcome-unknown` when no reply arrived before the deadline, and with the failure with which the peer replied.
 */
export type PeerCaller = <Type extends PeerCallType>(
  address: string,
  type: Type,
  body: PeerCallMap[Type]['request'],
  deadlineMs: number,
) => Promise<Result<PeerCallMap[Type]['reply'], Failure>>;
