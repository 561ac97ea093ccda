import Result from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import type { PausableClock } from '@acaciahoist/clock/pausable-clock';
import type { PeerCalls } from '@acaciahoist/cell-process/peer-calls';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import { CallFault } from './call-fault.js';

type Handler = Parameters<PeerCalls['start']>[0];
type Reply = Result<unknown, Failure>;

/** Delay in ms of a message between two processes, in one direction. */
const ONE_WAY_DELAY_MS = 2;
/** Delay in ms after which a late call takes effect. */
const LATE_CALL_DELAY_MS = 3_000;

/** Emulates the calls between the processes of a cell, with delays and with faults that a test sets. */
export class EmulatedPeers {
  static create(
    clock: Clock,
    findProcess: (name: string) => { isUp: boolean; clock: PausableClock } | undefined,
  ): EmulatedPeers {
    return new EmulatedPeers(clock, findProcess);
  }

  /** Chooses the fault of a call by the names of both processes and the type of the call. */
  chooseFault: (caller: string, callee: string, type: string) => CallFault = () => CallFault.none;
  /** Delay in ms that is added to `ONE_WAY_DELAY_MS` for a call between two processes, in each direction. */
  getExtraDelayMs: (caller: string, callee: string) => number = () => 0;
  /** Processes whose machine is off, so that calls get no reply instead of a refused connection. */
  readonly unpoweredProcesses = new Set<string>();
  /** Number of calls that the called process has executed, by type. */
  readonly executedCallCounts = new Map<string, number>();
  /** Handler of the calls to a started process, by its name. */
  private readonly handlers = new Map<string, Handler>();

  private constructor(
    private readonly clock: Clock,
    private readonly findProcess: (
      name: string,
    ) => { isUp: boolean; clock: PausableClock } | undefined,
  ) {}

  /** Creates the connection of one incarnation of a process to the other processes; `clock` is its clock. */
  createClient(caller: string, clock: PausableClock): PeerCalls {
    let onRefused: (address: string) => void = () => undefined;
    // A process receives no calls until it has started.
    this.handlers.delete(caller);
    return {
      start: (handle, refused) => {
        this.handlers.set(caller, handle);
        onRefused = refused;
        return Promise.resolve();
      },
      call: (async (callee: string, type: string, body: unknown, timeoutMs: number) => {
        const fault = this.chooseFault(caller, callee, type);
        const isReachable = this.findProcess(callee)?.isUp === true && this.handlers.has(callee);
        if (fault === CallFault.refused || (!isReachable && !this.unpoweredProcesses.has(callee))) {
          onRefused(callee);
          return Result.err(
            Failure.create(ErrorKind.ownerUnreachable, `process ${callee} refused the connection`),
          );
        }
        let cancel: () => void = () => undefined;
        const timeout = new Promise<Reply>((resolve) => {
          cancel = clock.after(timeoutMs, () => {
            const kind = isReachable ? ErrorKind.outcomeUnknown : ErrorKind.ownerUnreachable;
            resolve(
              Result.err(
                Failure.create(kind, `no reply from process ${callee} within ${timeoutMs} ms`),
              ),
            );
          });
        });
        const reply = clock.deliver(this.deliverCall(caller, callee, type, body, fault));
        const result = await Promise.race([reply, timeout]);
        cancel();
        return result;
      }) as PeerCalls['call'],
      stop: () => undefined,
      describe: () => [],
    };
  }

  /** Delivers a call and returns the reply; does not resolve if the call or the reply is lost. */
  private async deliverCall(
    caller: string,
    callee: string,
    type: string,
    body: unknown,
    fault: CallFault,
  ): Promise<Reply> {
    const target = this.findProcess(callee);
    const calleeClock = target?.clock;
    if (target === undefined || calleeClock === undefined || fault === CallFault.lost)
      return waitForever();
    const delayMs = ONE_WAY_DELAY_MS + this.getExtraDelayMs(caller, callee);
    await this.wait(fault === CallFault.late ? LATE_CALL_DELAY_MS : delayMs);
    await calleeClock.deliver(Promise.resolve());
    const handle = this.handlers.get(callee);
    if (!target.isUp || target.clock !== calleeClock || handle === undefined) return waitForever();
    this.executedCallCounts.set(type, (this.executedCallCounts.get(type) ?? 0) + 1);
    const reply = await handle(type, body);
    const isLost = fault !== CallFault.none || !target.isUp || target.clock !== calleeClock;
    // The connection may have been lost while the call was executed.
    if (isLost || this.chooseFault(caller, callee, type) === CallFault.lost) return waitForever();
    await this.wait(delayMs);
    return reply;
  }

  private wait(ms: number): Promise<void> {
    return new Promise((resolve) => this.clock.after(ms, resolve));
  }
}

function waitForever(): Promise<never> {
  return new Promise(() => undefined);
}
