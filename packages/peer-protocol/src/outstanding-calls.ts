import Result from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import type { PeerFrame } from '@acaciahoist/types/peer-frame';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';
import { findShapeError } from '@acaciahoist/types/find-shape-error';
import { isPeerCallType } from './is-peer-call-type.js';
import type { PeerCallType } from './peer-call-type.js';
import { replyShapes } from './reply-shapes.js';
import { parseFailure } from './parse-failure.js';

interface OutstandingCall {
  settle: (result: Result<unknown, Failure>) => void;
  cancelTimer: () => void;
  type: string;
}

/**
 * Tracks the outstanding calls on one connection and matches replies to them. Late and repeated replies
 * and those of another incarnation are counted and dropped.
 */
export class OutstandingCalls {
  static create(options: {
    clock: Clock;
    identity: ProcessIdentity;
    /** Sends a frame; returns false when nothing was sent. */
    send: (frame: PeerFrame) => boolean;
  }): OutstandingCalls {
    return new OutstandingCalls(options.clock, options.identity, options.send);
  }

  private nextId = 1;
  private readonly byId = new Map<number, OutstandingCall>();
  private droppedReplies = 0;
  /** Incarnation that sent the first reply on this connection. Replies of other incarnations are dropped. */
  private remoteIncarnation: string | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly identity: ProcessIdentity,
    private readonly send: (frame: PeerFrame) => boolean,
  ) {}

  /**
   * Sends a call. Fails with `owner-unreachable` when nothing was sent, with `outcome-unknown` when the
   * call was sent and no valid reply was received within `timeoutMs`, and with the failure that the peer
   * returned.
   */
  call<Type extends PeerCallType>(
    type: Type,
    body: PeerCallMap[Type]['request'],
    timeoutMs: number,
  ): Promise<Result<PeerCallMap[Type]['reply'], Failure>> {
    return new Promise((resolve) => {
      const id = this.nextId++;
      const settle = resolve as (result: Result<unknown, Failure>) => void;
      const isSent = this.send({
        id,
        kind: 'call',
        from: this.identity,
        type,
        body,
        deadlineMs: timeoutMs,
      });
      if (!isSent) {
        const message = `${type} was not sent: the connection is not open or the peer does not read from it`;
        settle(Result.err(Failure.create(ErrorKind.ownerUnreachable, message)));
        return;
      }
      const cancelTimer = this.clock.after(timeoutMs, () => {
        this.endCall(
          id,
          createUnknownResult(`no reply to ${type} within ${Math.round(timeoutMs)} ms`),
        );
      });
      this.byId.set(id, { settle, cancelTimer, type });
    });
  }

  /** Ends the call that a reply or error frame belongs to. */
  acceptReply(frame: PeerFrame): void {
    this.remoteIncarnation ??= frame.from.incarnation;
    const isExpected =
      this.byId.get(frame.id)?.type === frame.type &&
      this.remoteIncarnation === frame.from.incarnation;
    if (!isExpected) {
      this.droppedReplies += 1;
      return;
    }
    this.endCall(frame.id, readReply(frame));
  }

  /** Fails all outstanding calls with `outcome-unknown`. */
  endAll(): void {
    for (const [id, { type }] of [...this.byId])
      this.endCall(id, createUnknownResult(`the connection was closed before a reply to ${type}`));
  }

  describe(): { inFlight: number; droppedReplies: number } {
    return { inFlight: this.byId.size, droppedReplies: this.droppedReplies };
  }

  private endCall(id: number, result: Result<unknown, Failure>): void {
    const outstandingCall = this.byId.get(id);
    if (outstandingCall === undefined) return;
    this.byId.delete(id);
    outstandingCall.cancelTimer();
    outstandingCall.settle(result);
  }
}

function readReply(frame: PeerFrame): Result<unknown, Failure> {
  if (frame.kind !== 'reply') return Result.err(parseFailure(frame.body));
  const shape = isPeerCallType(frame.type) ? replyShapes[frame.type] : undefined;
  const shapeError = shape && findShapeError(shape, frame.body, frame.type);
  return shapeError === undefined
    ? Result.ok(frame.body)
    : createUnknownResult(`malformed reply to ${frame.type}: ${shapeError}`);
}

function createUnknownResult(message: string): Result<unknown, Failure> {
  return Result.err(Failure.create(ErrorKind.outcomeUnknown, message));
}
