import Result from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import type { PausableClock } from '@acaciahoist/clock/pausable-clock';
import type { PeerCalls } from '@acaciahoist/cell-process/peer-calls';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import { CallFault } from './call-fault.js';

type Handler = Parameters<PeerCalls['start']>[0];
type Answer = Result<unknown, Failure>;

/** Way of a call between two processes in ms. */
const ONE_WAY_DELAY_MS = 2;
const LATE_CALL_DELAY_MS = 3_000;

/** Calls between the processes of a cell, with faults that a test sets. */
export class EmulatedPeers {
  static create(
    clock: Clock,
    member: (name: string) => { isUp: boolean; clock: PausableClock } | undefined,
  ): EmulatedPeers {
    return new EmulatedPeers(clock, member);
  }

  /** Chooses the fault of a call. */
  chooseFault: (caller: string, callee: string, type: string) => CallFault = () => CallFault.none;
  /** Time in ms that a call takes beyond its usual way, there and again back. */
  getExtraDelayMs: (caller: string, callee: string) => number = () => 0;
  /** Processes that are down and whose machines do not refuse connections either. */
  readonly unpoweredProcesses = new Set<string>();
  /** Calls that were carried out, by type. */
  readonly executedCallCounts = new Map<string, number>();
  private readonly handlers = new Map<string, Handler>();

  private constructor(
    private readonly clock: Clock,
    private readonly findProcess: (
      name: string,
    ) => { isUp: boolean; clock: PausableClock } | undefined,
  ) {}

  /** Calls of one life of a process, whose clock this is. */
  createClient(caller: string, clock: PausableClock): PeerCalls {
    let onRefused: (address: string) => void = () => undefined;
    // A process that has not started yet listens nowhere.
    this.handlers.delete(caller);
    return {
      start: (handle, refused) => {
        this.handlers.set(caller, handle);
        onRefused = refused;
        return Promise.resolve();
      },
      call: (async (callee: string, type: string, body: unknown, timeoutMs: number) => {
        const fault = this.chooseFault(caller, callee, type);
        const isHeard = this.findProcess(callee)?.isUp === true && this.handlers.has(callee);
        if (fault === CallFault.refused || (!isHeard && !this.unpoweredProcesses.has(callee))) {
          onRefused(callee);
          return Result.err(Failure.create(ErrorKind.ownerUnreachable, 'down'));
        }
        let cancel: () => void = () => undefined;
        const limit = new Promise<Answer>((resolve) => {
          cancel = clock.after(timeoutMs, () => {
            const kind = isHeard ? ErrorKind.outcomeUnknown : ErrorKind.ownerUnreachable;
            resolve(Result.err(Failure.create(kind, 'no answer')));
          });
        });
        const answer = clock.deliver(this.deliverCall(caller, callee, type, body, fault));
        const first = await Promise.race([answer, limit]);
        cancel();
        return first;
      }) as PeerCalls['call'],
      stop: () => undefined,
      describe: () => [],
    };
  }

  /** Brings a call to its callee and the answer back; does not resolve when one of them is lost. */
  private async deliverCall(
    caller: string,
    callee: string,
    type: string,
    body: unknown,
    fault: CallFault,
  ): Promise<Answer> {
    const target = this.findProcess(callee);
    const life = target?.clock;
    if (target === undefined || life === undefined || fault === CallFault.lost)
      return waitForever();
    const wayMs = ONE_WAY_DELAY_MS + this.getExtraDelayMs(caller, callee);
    await this.wait(fault === CallFault.late ? LATE_CALL_DELAY_MS : wayMs);
    await life.deliver(Promise.resolve());
    const handle = this.handlers.get(callee);
    if (!target.isUp || target.clock !== life || handle === undefined) return waitForever();
    this.executedCallCounts.set(type, (this.executedCallCounts.get(type) ?? 0) + 1);
    const answer = await handle(type, body);
    const isLost = fault !== CallFault.none || !target.isUp || target.clock !== life;
    // The way back may have been cut meanwhile.
    if (isLost || this.chooseFault(caller, callee, type) === CallFault.lost) return waitForever();
    await this.wait(wayMs);
    return answer;
  }

  private wait(ms: number): Promise<void> {
    return new Promise((resolve) => this.clock.after(ms, resolve));
  }
}

function waitForever(): Promise<never> {
  return new Promise(() => undefined);
}
