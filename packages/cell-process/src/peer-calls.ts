import type Result from 'true-myth/result';
import type { Failure } from '@acaciahoist/errors';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';

/** Sends and receives the calls between the processes of the cell. */
export interface PeerCalls {
  /** Starts to serve calls of other processes. `onRefused` is called when an address refuses a connection. */
  start(
    handle: (type: string, body: unknown) => Promise<Result<unknown, Failure>>,
    onRefused: (address: string) => void,
  ): Promise<void>;
  call<
    Type extends
      | 'offer-help'
      | 'owner-changed'
      | 'advise'
      | 'relay-record'
      | 'relay-outcome'
      | 'read-log'
      | 'read-cell-configuration',
  >(
    address: string,
    type: Type,
    body: PeerCallMap[Type]['request'],
    timeoutMs: number,
  ): Promise<Result<PeerCallMap[Type]['reply'], Failure>>;
  stop(): void;
  /** Returns the state of the connections for operators. */
  describe(): readonly Record<string, unknown>[];
}
