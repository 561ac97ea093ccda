import Result from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import type { PeerFrame } from '@acaciahoist/types/peer-frame';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';
import { findShapeFault } from './find-shape-fault.js';
import { isPeerCallType } from './is-peer-call-type.js';
import type { PeerCallType } from './peer-call-type.js';
import { replyShapes } from './reply-shapes.js';
import { toFailure } from './to-failure.js';

interface Waiting {
  settle: (result: Result<unknown, Failure>) => void;
  cancelTimer: () => void;
  type: string;
}

/** Matches replies to calls on one connection. Late, repeated and foreign replies are counted and dropped. */
export class CallTable {
  static create(options: {
    clock: Clock;
    identity: ProcessIdentity;
    send: (frame: PeerFrame) => boolean;
  }): CallTable {
    return new CallTable(options.clock, options.identity, options.send);
  }

  private nextId = 1;
  private readonly waiting = new Map<number, Waiting>();
  private dropped = 0;
  /** Incarnation that answered first on this connection; replies of another one are foreign. */
  private remote: string | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly identity: ProcessIdentity,
    private readonly send: (frame: PeerFrame) => boolean,
  ) {}

  /**
   * Sends a call. Fails with `owner-unreachable` when nothing was sent, with `outcome-unknown` when it
   * was sent and no reply came before the deadline, and with the failure that the peer answered.
   */
  call<Type extends PeerCallType>(
    type: Type,
    body: PeerCallMap[Type]['request'],
    deadlineMs: number,
  ): Promise<Result<PeerCallMap[Type]['reply'], Failure>> {
    return new Promise((resolve) => {
      const id = this.nextId++;
      const settle = resolve as (result: Result<unknown, Failure>) => void;
      const sent = this.send({ id, kind: 'call', from: this.identity, type, body, deadlineMs });
      if (!sent) {
        settle(Result.err(Failure.create(ErrorKind.ownerUnreachable, 'no connection to the peer')));
        return;
      }
      const cancelTimer = this.clock.after(deadlineMs, () => {
        this.finish(id, unknownResult(`no reply to ${type} within ${Math.round(deadlineMs)} ms`));
      });
      this.waiting.set(id, { settle, cancelTimer, type });
    });
  }

  /** Takes a reply or error frame. */
  accept(frame: PeerFrame): void {
    this.remote ??= frame.from.incarnation;
    const isExpected =
      this.waiting.get(frame.id)?.type === frame.type && this.remote === frame.from.incarnation;
    if (!isExpected) {
      this.dropped += 1;
      return;
    }
    this.finish(frame.id, readReply(frame));
  }

  /** Ends every call in flight; their results are not known. */
  close(): void {
    for (const id of [...this.waiting.keys()])
      this.finish(id, unknownResult('the connection was closed'));
  }

  describe(): { inFlight: number; droppedReplies: number } {
    return { inFlight: this.waiting.size, droppedReplies: this.dropped };
  }

  private finish(id: number, result: Result<unknown, Failure>): void {
    const entry = this.waiting.get(id);
    if (entry === undefined) return;
    this.waiting.delete(id);
    entry.cancelTimer();
    entry.settle(result);
  }
}

function readReply(frame: PeerFrame): Result<unknown, Failure> {
  if (frame.kind !== 'reply') return Result.err(toFailure(frame.body));
  const shape = isPeerCallType(frame.type) ? replyShapes[frame.type] : undefined;
  const fault = shape && findShapeFault(shape, frame.body, frame.type);
  return fault === undefined ? Result.ok(frame.body) : unknownResult(`malformed reply: ${fault}`);
}

function unknownResult(message: string): Result<unknown, Failure> {
  return Result.err(Failure.create(ErrorKind.outcomeUnknown, message));
}
