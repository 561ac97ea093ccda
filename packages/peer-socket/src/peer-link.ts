import Result from 'true-myth/result';
import { createActor, type Actor } from 'xstate';
import type { Clock } from '@acaciahoist/clock';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import type { PeerCallType } from '@acaciahoist/peer-protocol/peer-call-type';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';
import { connectionMachine } from './connection-machine.js';
import { Socket } from './socket.js';

interface Options {
  clock: Clock;
  identity: ProcessIdentity;
  address: string;
  /** A connection that was silent for this long is probed. */
  probeMs: number;
  /** Time within which a probe must be answered. */
  probeTimeoutMs: number;
  connectTimeoutMs: number;
  /** Runs when the address refused a connection: no process listens there. */
  onRefused: (address: string) => void;
}

/** The kept connection to one peer: opened on first use, probed when silent, replaced when a probe fails. */
export class PeerLink {
  static create(options: Options): PeerLink {
    return new PeerLink(options);
  }

  private current: Socket | undefined;
  private replacement: Socket | undefined;
  private waiters: ((open: boolean) => void)[] = [];
  private cancelProbe: () => void = () => undefined;
  private replacements = 0;
  private isProbing = false;
  private isStopped = false;
  private readonly machine: Actor<typeof connectionMachine>;

  private constructor(private readonly options: Options) {
    this.machine = createActor(connectionMachine).start();
  }

  async call<Type extends PeerCallType>(
    type: Type,
    body: PeerCallMap[Type]['request'],
    deadlineMs: number,
  ): Promise<Result<PeerCallMap[Type]['reply'], Failure>> {
    const startMs = this.options.clock.monotonicMs();
    if (!this.current?.isOpen && !(await this.waitForOpen(deadlineMs)))
      return unreachable(this.options.address);
    const remainingMs = deadlineMs - (this.options.clock.monotonicMs() - startMs);
    if (remainingMs <= 0 || this.current === undefined) return unreachable(this.options.address);
    const socket = this.current;
    const sentMs = this.options.clock.monotonicMs();
    const result = await socket.calls.call(type, body, remainingMs);
    // A call without an answer may mean that the connection went silent: it is probed at once.
    const isSilent = result.isErr && socket.lastFrameMs < sentMs;
    if (isSilent && socket === this.current) this.probeNow();
    return result;
  }

  stop(): void {
    this.isStopped = true;
    this.cancelProbe();
    this.current?.end();
    this.replacement?.end();
    this.settleWaiters(false);
    this.machine.stop();
  }

  describe(): Record<string, unknown> {
    return {
      address: this.options.address,
      state: this.machine.getSnapshot().value,
      lastFrameAgeMs:
        this.current === undefined
          ? null
          : Math.round(this.options.clock.monotonicMs() - this.current.lastFrameMs),
      replacements: this.replacements,
      ...this.current?.calls.describe(),
    };
  }

  private waitForOpen(deadlineMs: number): Promise<boolean> {
    if (this.isStopped) return Promise.resolve(false);
    return new Promise((resolve) => {
      const cancel = this.options.clock.after(deadlineMs, () => {
        this.waiters = this.waiters.filter((waiter) => waiter !== settle);
        resolve(false);
      });
      const settle = (open: boolean): void => {
        cancel();
        resolve(open);
      };
      this.waiters.push(settle);
      if (this.machine.getSnapshot().value === 'idle') this.connect();
    });
  }

  private connect(): void {
    this.machine.send({ type: 'OPEN' });
    const socket = this.open(() => {
      this.machine.send({ type: 'OPENED' });
      this.settleWaiters(true);
      this.scheduleProbe();
    });
    this.current = socket;
  }

  private open(onOpen: () => void): Socket {
    const { clock, identity, address, connectTimeoutMs } = this.options;
    const socket: Socket = Socket.create({
      clock,
      identity,
      address,
      connectTimeoutMs,
      onOpen,
      onEnd: (refused) => {
        this.onEnd(socket, refused);
      },
    });
    return socket;
  }

  private onEnd(socket: Socket, refused: boolean): void {
    if (this.isStopped) return;
    if (refused) this.options.onRefused(this.options.address);
    if (socket === this.replacement) {
      // Neither the old connection nor a new one answers: the peer is unreachable.
      this.replacement = undefined;
      const old = this.current;
      this.current = undefined;
      this.machine.send({ type: 'FAILED' });
      old?.end();
      this.settleWaiters(false);
      return;
    }
    if (socket !== this.current) return;
    this.cancelProbe();
    this.current = undefined;
    const wasOpen = this.machine.getSnapshot().value !== 'connecting';
    this.machine.send({ type: wasOpen ? 'CLOSED' : 'FAILED' });
    if (this.replacement === undefined) this.settleWaiters(false);
  }

  private scheduleProbe(): void {
    this.cancelProbe();
    this.cancelProbe = this.options.clock.after(this.options.probeMs, () => {
      const { clock, probeMs } = this.options;
      const lastFrameMs = this.current?.lastFrameMs ?? 0;
      if (clock.monotonicMs() - lastFrameMs < probeMs) this.scheduleProbe();
      else this.probeNow();
    });
  }

  private probeNow(): void {
    if (this.isProbing) return;
    this.isProbing = true;
    this.cancelProbe();
    void this.probe().then(() => {
      this.isProbing = false;
    });
  }

  private async probe(): Promise<void> {
    const { clock, probeTimeoutMs } = this.options;
    const socket = this.current;
    if (socket === undefined || this.isStopped) return;
    const sentMs = clock.monotonicMs();
    await socket.calls.call('probe', {}, probeTimeoutMs);
    if (socket !== this.current) return;
    const isAlive = socket.lastFrameMs >= sentMs;
    if (isAlive) this.scheduleProbe();
    else this.replace(socket);
  }

  private replace(old: Socket): void {
    this.machine.send({ type: 'PROBE_FAILED' });
    this.replacement = this.open(() => {
      this.current = this.replacement;
      this.replacement = undefined;
      this.replacements += 1;
      this.machine.send({
        type: this.machine.getSnapshot().value === 'connecting' ? 'OPENED' : 'REPLACED',
      });
      this.settleWaiters(true);
      this.scheduleProbe();
      old.end();
    });
  }

  private settleWaiters(open: boolean): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const settle of waiters) settle(open);
  }
}

function unreachable(address: string): Result<never, Failure> {
  return Result.err(Failure.create(ErrorKind.ownerUnreachable, `no connection to ${address}`));
}
