import type Result from 'true-myth/result';
import type { Failure } from '@acaciahoist/errors';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';

/** Calls between the processes of the cell. */
export interface PeerCalls {
  /** Takes calls of other processes until `stop`. */
  start(handle: (type: string, body: unknown) => Promise<Result<unknown, Failure>>): Promise<void>;
  call<Type extends 'offer-help' | 'advise'>(
    address: string,
    type: Type,
    body: PeerCallMap[Type]['request'],
    timeoutMs: number,
  ): Promise<Result<PeerCallMap[Type]['reply'], Failure>>;
  stop(): void;
  describe(): readonly Record<string, unknown>[];
}
