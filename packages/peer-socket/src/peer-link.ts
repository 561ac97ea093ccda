import Result from 'true-myth/result';
import { createActor, type Actor } from 'xstate';
import type { Clock } from '@acaciahoist/clock';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import type { PeerCallType } from '@acaciahoist/peer-protocol/peer-call-type';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';
import { connectionMachine } from './connection-machine.js';
import { PeerConnection } from './peer-connection.js';

interface Options {
  clock: Clock;
  identity: ProcessIdentity;
  address: string;
  /** Time without a received frame after which the connection is probed. */
  probeMs: number;
  /** Timeout of a probe. */
  probeTimeoutMs: number;
  connectTimeoutMs: number;
  /** Runs when the address refuses a connection, which shows that no process listens there. */
  onRefused: (address: string) => void;
}

/**
 * Maintains one connection to a peer: opens it for the first call, probes it when no frame was received
 * for `probeMs`, and replaces it when a probe is not answered.
 */
export class PeerLink {
  static create(options: Options): PeerLink {
    return new PeerLink(options);
  }

  private current: PeerConnection | undefined;
  private replacement: PeerConnection | undefined;
  private openWaiters: ((isOpen: boolean) => void)[] = [];
  private cancelProbe: () => void = () => undefined;
  private replacementCount = 0;
  private isProbing = false;
  private isStopped = false;
  private readonly machine: Actor<typeof connectionMachine>;

  private constructor(private readonly options: Options) {
    this.machine = createActor(connectionMachine).start();
  }

  async call<Type extends PeerCallType>(
    type: Type,
    body: PeerCallMap[Type]['request'],
    timeoutMs: number,
  ): Promise<Result<PeerCallMap[Type]['reply'], Failure>> {
    const startedAtMs = this.options.clock.monotonicMs();
    if (!this.current?.isOpen && !(await this.waitForOpen(timeoutMs)))
      return createUnreachableResult(this.options.address);
    const remainingMs = timeoutMs - (this.options.clock.monotonicMs() - startedAtMs);
    if (remainingMs <= 0 || this.current === undefined)
      return createUnreachableResult(this.options.address);
    const connection = this.current;
    const sentAtMs = this.options.clock.monotonicMs();
    const result = await connection.calls.call(type, body, remainingMs);
    // Nothing has been received since the call was sent, so the connection may be silent: probe it at once.
    const receivedNothing = result.isErr && connection.lastFrameAtMs < sentAtMs;
    if (receivedNothing && connection === this.current) this.startProbe();
    return result;
  }

  stop(): void {
    this.isStopped = true;
    this.cancelProbe();
    this.current?.terminate();
    this.replacement?.terminate();
    this.resolveOpenWaiters(false);
    this.machine.stop();
  }

  describe(): Record<string, unknown> {
    return {
      address: this.options.address,
      state: this.machine.getSnapshot().value,
      lastFrameAgeMs:
        this.current === undefined
          ? null
          : Math.round(this.options.clock.monotonicMs() - this.current.lastFrameAtMs),
      replacements: this.replacementCount,
      ...this.current?.calls.describe(),
    };
  }

  private waitForOpen(timeoutMs: number): Promise<boolean> {
    if (this.isStopped) return Promise.resolve(false);
    return new Promise((resolve) => {
      const cancelTimer = this.options.clock.after(timeoutMs, () => {
        this.openWaiters = this.openWaiters.filter((waiter) => waiter !== settle);
        resolve(false);
      });
      const settle = (isOpen: boolean): void => {
        cancelTimer();
        resolve(isOpen);
      };
      this.openWaiters.push(settle);
      if (this.machine.getSnapshot().value === 'idle') this.connect();
    });
  }

  private connect(): void {
    this.machine.send({ type: 'OPEN' });
    try {
      this.current = this.openConnection(() => {
        this.machine.send({ type: 'OPENED' });
        this.resolveOpenWaiters(true);
        this.scheduleProbe();
      });
    } catch {
      // `WebSocket` throws for an invalid address; the failure of the call names the address.
      this.machine.send({ type: 'FAILED' });
      this.resolveOpenWaiters(false);
    }
  }

  private openConnection(onOpen: () => void): PeerConnection {
    const { clock, identity, address, connectTimeoutMs } = this.options;
    const connection: PeerConnection = PeerConnection.create({
      clock,
      identity,
      address,
      connectTimeoutMs,
      onOpen,
      onEnd: (isRefused) => {
        this.handleEnd(connection, isRefused);
      },
    });
    return connection;
  }

  private handleEnd(connection: PeerConnection, isRefused: boolean): void {
    if (this.isStopped) return;
    if (isRefused) this.options.onRefused(this.options.address);
    if (connection === this.replacement) {
      // The peer is unreachable: the old connection is silent and the new one could not be opened.
      this.replacement = undefined;
      const oldConnection = this.current;
      this.current = undefined;
      this.machine.send({ type: 'FAILED' });
      oldConnection?.terminate();
      this.resolveOpenWaiters(false);
      return;
    }
    if (connection !== this.current) return;
    this.cancelProbe();
    this.current = undefined;
    const wasOpen = this.machine.getSnapshot().value !== 'connecting';
    this.machine.send({ type: wasOpen ? 'CLOSED' : 'FAILED' });
    if (this.replacement === undefined) this.resolveOpenWaiters(false);
  }

  private scheduleProbe(): void {
    this.cancelProbe();
    this.cancelProbe = this.options.clock.after(this.options.probeMs, () => {
      const { clock, probeMs } = this.options;
      const lastFrameAtMs = this.current?.lastFrameAtMs ?? 0;
      if (clock.monotonicMs() - lastFrameAtMs < probeMs) this.scheduleProbe();
      else this.startProbe();
    });
  }

  private startProbe(): void {
    if (this.isProbing) return;
    this.isProbing = true;
    this.cancelProbe();
    void this.runProbe().then(() => {
      this.isProbing = false;
    });
  }

  private async runProbe(): Promise<void> {
    const { clock, probeTimeoutMs } = this.options;
    const connection = this.current;
    if (connection === undefined || this.isStopped) return;
    const sentAtMs = clock.monotonicMs();
    await connection.calls.call('probe', {}, probeTimeoutMs);
    if (connection !== this.current) return;
    const receivedFrame = connection.lastFrameAtMs >= sentAtMs;
    if (receivedFrame) this.scheduleProbe();
    else this.openReplacement(connection);
  }

  private openReplacement(oldConnection: PeerConnection): void {
    // The connection of an outstanding probe also ends when the link stops. A call that fails while the
    // replacement is being opened starts another probe of the old connection; nothing would close the first of two
    // replacements.
    if (this.isStopped || this.replacement !== undefined) return;
    this.machine.send({ type: 'PROBE_FAILED' });
    this.replacement = this.openConnection(() => {
      this.current = this.replacement;
      this.replacement = undefined;
      this.replacementCount += 1;
      this.machine.send({
        type: this.machine.getSnapshot().value === 'connecting' ? 'OPENED' : 'REPLACED',
      });
      this.resolveOpenWaiters(true);
      this.scheduleProbe();
      oldConnection.terminate();
    });
  }

  private resolveOpenWaiters(isOpen: boolean): void {
    const waiters = this.openWaiters;
    this.openWaiters = [];
    for (const settle of waiters) settle(isOpen);
  }
}

function createUnreachableResult(address: string): Result<never, Failure> {
  return Result.err(Failure.create(ErrorKind.ownerUnreachable, `no connection to ${address}`));
}
