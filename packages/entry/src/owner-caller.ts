import Result from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import type { Membership } from '@acaciahoist/membership';
import type { PeerCallType } from '@acaciahoist/peer-protocol/peer-call-type';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import type { PeerCaller } from './peer-caller.js';

/** Kinds of failures after which a call was certainly not executed and may be sent again, or to a successor. */
const NOT_EXECUTED_KINDS: readonly ErrorKind[] = [
  ErrorKind.notOwner,
  ErrorKind.ownerUnreachable,
  ErrorKind.notReady,
];
/** Delay before the owner is looked up again. A new owner is learned from its next heartbeat. */
const RETRY_DELAY_MS = 50;

interface Options {
  clock: Clock;
  /** Peer address of this process. */
  ownAddress: string;
  membership: Membership;
  callPeer: PeerCaller;
  /** Executes a call in this process when it is the owner. */
  callSelf: <Type extends PeerCallType>(
    type: Type,
    body: PeerCallMap[Type]['request'],
    deadlineMs: number,
  ) => Promise<Result<PeerCallMap[Type]['reply'], Failure>>;
}

/** Sends calls to the owner of a partition in any process, and to its successor after a failover. */
export class OwnerCaller {
  static create(options: Options): OwnerCaller {
    return new OwnerCaller(options);
  }

  private constructor(private readonly options: Options) {}

  /**
   * Calls the owner within `deadlineMs`. Repeats the call only when it was certainly not executed. Fails
   * with `owner-unreachable` when no owner accepted it in this time.
   */
  async call<Type extends PeerCallType>(
    partition: string,
    type: Type,
    body: PeerCallMap[Type]['request'],
    deadlineMs: number,
  ): Promise<Result<PeerCallMap[Type]['reply'], Failure>> {
    const { clock } = this.options;
    const deadlineAtMs = clock.monotonicMs() + deadlineMs;
    let lastFailure = failUnreachable(partition);
    for (;;) {
      const remainingMs = deadlineAtMs - clock.monotonicMs();
      if (remainingMs <= 0) return lastFailure;
      const result = await this.callOnce(partition, type, body, remainingMs);
      if (result.isOk || !NOT_EXECUTED_KINDS.includes(result.error.kind)) return result;
      lastFailure = failUnreachable(partition, result.error.message);
      await new Promise<void>((resolve) =>
        clock.after(Math.min(RETRY_DELAY_MS, remainingMs), resolve),
      );
    }
  }

  private callOnce<Type extends PeerCallType>(
    partition: string,
    type: Type,
    body: PeerCallMap[Type]['request'],
    deadlineMs: number,
  ): Promise<Result<PeerCallMap[Type]['reply'], Failure>> {
    const holder = this.options.membership.findOwner(partition)?.holder;
    if (holder === undefined) return Promise.resolve(failUnreachable(partition));
    if (holder === this.options.ownAddress) return this.options.callSelf(type, body, deadlineMs);
    return this.options.callPeer(holder, type, body, deadlineMs);
  }
}

function failUnreachable(partition: string, reason = 'no owner is known'): Result<never, Failure> {
  const message = `the owner of partition ${partition} cannot be reached: ${reason}`;
  return Result.err(Failure.create(ErrorKind.ownerUnreachable, message));
}
