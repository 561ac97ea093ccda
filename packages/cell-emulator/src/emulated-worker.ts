import type { Clock } from '@acaciahoist/clock';
import type { EndedRun } from '@acaciahoist/cell-types/ended-run';
import type { HoldReply } from '@acaciahoist/cell-types/hold-reply';
import { PaceReply } from '@acaciahoist/cell-types/pace-reply';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import type { StartOrder } from '@acaciahoist/cell-types/start-order';
import type { StartReply } from '@acaciahoist/cell-types/start-reply';
import { StopReply } from '@acaciahoist/cell-types/stop-reply';
import type { WorkerClient } from '@acaciahoist/cell-types/worker-client';
import type { WorkerEntry } from '@acaciahoist/cell-types/worker-entry';
import { CallFault } from './call-fault.js';
import { longRunningStartupMs } from './long-running-startup-ms.js';
import type { EmulatedGangs } from './emulated-gangs.js';
import type { HistoryEvent } from './history-event.js';

/** A run that has started and not ended. */
interface Run {
  task: string;
  run: number;
  startedAtMs: number;
  /** Duration in ms of the work, unless the run ends before; infinite for a long-running task. */
  plannedDurationMs: number;
  /** Cancels the timer that ends the run when its work is done. */
  cancel: () => void;
  /** Speed in percent of full speed that the last pace call set; 100 without a call. */
  sharePercent: number;
}

interface Options {
  clock: Clock;
  entry: WorkerEntry;
  /** Returns how long a run lasts in ms and how it ends, unless it is stopped before. */
  getRunPlan: (task: string, run: number) => { durationMs: number; how: RunEnd };
  /** Returns the number of members of the task's gang; 0 if it belongs to none. */
  getGangSize: (task: string) => number;
  gangs: EmulatedGangs;
  /** Returns whether the task uses only spare processor time. */
  isBestEffort: (task: string) => boolean;
  recordEvent: (event: HistoryEvent) => void;
}

/** Delay in ms from a call to its reply. */
const REPLY_DELAY_MS = 3;
/** Delay in ms after which a late call takes effect. */
const LATE_CALL_DELAY_MS = 4_000;
/** Tail latency in ms of a serving task alone on its worker. */
const BASE_TAIL_MS = 40;
/** Tail latency in ms that each best-effort task at full speed adds to the serving tasks on its worker. */
const BEST_EFFORT_TAIL_MS = 100;

/** One incarnation of a worker: its fencing token, lease, runs and their ends, with faults that a test sets. */
export class EmulatedWorker {
  static create(options: Options): EmulatedWorker {
    return new EmulatedWorker(options);
  }

  /** Chooses the fault of a call by the incarnation that calls, such as `p0#1`, and the kind of the call. */
  chooseFault: (caller: string, kind: keyof Omit<WorkerClient, 'close'>) => CallFault = () =>
    CallFault.none;
  isUp = true;
  /** Factor on the durations of the runs that start from now on. */
  durationFactor = 1;
  private hasLostPower = false;
  /** Time in ms from a stop to the end of the run. */
  stopDurationMs = 100;
  private readonly incarnationStartMs: number;
  /** Highest fencing token received. */
  private token = 0;
  /** End of the lease on the worker's clock, which starts at 0 with the incarnation. */
  private leaseUntilMs = 0;
  private readonly runs = new Map<string, Run>();
  /** Ended runs whose end is not acknowledged yet. */
  private endedRuns: EndedRun[] = [];
  /** Callbacks of hold calls that wait for the end of a run. */
  private readonly runEndWaiters = new Set<() => void>();
  private endCount = 0;
  /** Number of times that the lease has expired. */
  private leaseExpiryCount = 0;
  /** Value of `leaseExpiryCount` when a run ended, by the number of its end. */
  private readonly leaseExpiryCountAtEnd = new Map<number, number>();
  /** Highest number of a run that was stopped or has ended, by task. */
  private readonly highestFinishedRuns = new Map<string, number>();

  private constructor(private readonly options: Options) {
    this.incarnationStartMs = options.clock.monotonicMs();
  }

  get entry(): WorkerEntry {
    return this.options.entry;
  }

  /**
   * Ends the worker process: its runs are lost and their ends are not reported. If its machine has lost power, a
   * waiting hold call fails only after its timeout, because nothing closes its connection.
   */
  crash(cause: 'process-ended' | 'power-lost' = 'process-ended'): void {
    this.isUp = false;
    this.hasLostPower = cause === 'power-lost';
    for (const endWait of [...this.runEndWaiters]) endWait();
    for (const run of [...this.runs.values()]) {
      run.cancel();
      this.runs.delete(run.task);
      this.recordEvent('ended', run.task, run.run, RunEnd.lost);
      this.options.gangs.leave(formatGangKey(run.task, run.run), run.task);
    }
  }

  /** Creates the client of one incarnation of a process, such as `p0#1`. */
  createClient(caller: string): WorkerClient {
    return {
      start: (order, timeoutMs) => {
        const sentAtMs = this.options.clock.monotonicMs();
        return this.call<StartReply>(
          caller,
          'start',
          timeoutMs,
          () => this.start(order, sentAtMs),
          { kind: 'unknown', reason: 'emulated fault: no reply to the start' },
          { kind: 'refused', reason: 'unhealthy' },
        );
      },
      stop: (task, run, token, timeoutMs) =>
        this.call(
          caller,
          'stop',
          timeoutMs,
          () => this.stop(task, run, token),
          StopReply.failed,
          StopReply.failed,
        ),
      pace: (task, run, percent, token, timeoutMs) =>
        this.call(
          caller,
          'pace',
          timeoutMs,
          () => this.pace(task, run, percent, token),
          PaceReply.failed,
          PaceReply.failed,
        ),
      hold: (holdCall) => this.hold(caller, holdCall),
      close: () => undefined,
    };
  }

  /**
   * Creates the client of calls that are meant for an earlier incarnation of this worker. Only a hold call finds out
   * who answers.
   */
  createClientOfFormer(caller: string): WorkerClient {
    const plainHold = { leaseUntilMs: 0, acknowledgedEnd: 0, waitMs: 0 };
    return {
      ...this.createGoneClient(),
      hold: ({ token, timeoutMs }) => this.hold(caller, { ...plainHold, token, timeoutMs }),
    };
  }

  /** Creates the client of calls that name another worker than the one at the address. */
  createGoneClient(): WorkerClient {
    const reply = async <Reply>(goneReply: Reply): Promise<Reply> => {
      await this.wait(REPLY_DELAY_MS);
      return goneReply;
    };
    const gone = { kind: 'gone', reason: 'another incarnation answered' } as const;
    return {
      start: () => reply(gone),
      stop: () => reply(StopReply.gone),
      pace: () => reply(PaceReply.failed),
      hold: () => reply(gone),
      close: () => undefined,
    };
  }

  /**
   * Executes a call with the fault that `chooseFault` returns for it. The reply is `refusedReply` if the call is
   * refused, and `timeoutReply` after the timeout if the call or its reply is lost.
   */
  private async call<Reply>(
    caller: string,
    kind: Parameters<EmulatedWorker['chooseFault']>[1],
    timeoutMs: number,
    execute: () => Reply,
    timeoutReply: Reply,
    refusedReply: Reply,
  ): Promise<Reply> {
    await this.wait(REPLY_DELAY_MS);
    const fault = this.isUp ? this.chooseFault(caller, kind) : CallFault.lost;
    if (fault === CallFault.none) return execute();
    if (fault === CallFault.refused) return refusedReply;
    if (fault === CallFault.replyLost) execute();
    if (fault === CallFault.late)
      this.options.clock.after(LATE_CALL_DELAY_MS, () => {
        if (this.isUp) execute();
      });
    await this.wait(timeoutMs);
    return timeoutReply;
  }

  private async hold(
    caller: string,
    holdCall: Parameters<WorkerClient['hold']>[0],
  ): Promise<HoldReply> {
    const failed: HoldReply = { kind: 'failed', reason: 'emulated fault: hold call failed' };
    const timeoutMs = holdCall.waitMs + holdCall.timeoutMs;
    const reply = await this.call(
      caller,
      'hold',
      timeoutMs,
      () => this.applyHoldCall(holdCall),
      failed,
      failed,
    );
    if (reply.kind !== 'held') return reply;
    const endMs = this.options.clock.monotonicMs() + holdCall.waitMs;
    while (this.endedRuns.length === 0 && this.options.clock.monotonicMs() < endMs) {
      await this.waitForRunEnd(endMs - this.options.clock.monotonicMs());
      if (this.isUp) continue;
      if (this.hasLostPower)
        await this.wait(endMs + holdCall.timeoutMs - this.options.clock.monotonicMs());
      return failed;
    }
    return this.applyHoldCall({ ...holdCall, leaseUntilMs: 0 });
  }

  private applyHoldCall(holdCall: {
    token: number;
    leaseUntilMs: number;
    acknowledgedEnd: number;
  }): HoldReply {
    if (holdCall.token < this.token) return { kind: 'fenced' };
    this.token = holdCall.token;
    this.extendLease(holdCall.leaseUntilMs);
    for (const end of this.endedRuns) {
      // The acknowledgement is recorded unless a lease expired between the end of the run and the call.
      const isCurrent = this.leaseExpiryCountAtEnd.get(end.number) === this.leaseExpiryCount;
      if (end.number <= holdCall.acknowledgedEnd && isCurrent)
        this.recordEvent('acknowledged', end.task, end.run, end.how);
    }
    this.endedRuns = this.endedRuns.filter((end) => end.number > holdCall.acknowledgedEnd);
    return {
      kind: 'held',
      clockMs: this.readClockMs(),
      born: this.entry.born,
      running: [...this.runs.values()].map(({ task, run, startedAtMs, plannedDurationMs }) => ({
        task,
        run,
        checkpoint: this.findCheckpoint(task, run),
        load: this.options.isBestEffort(task) ? 0 : this.computeTailLatencyMs(),
        percent: computePercent(this.options.clock.monotonicMs() - startedAtMs, plannedDurationMs),
      })),
      ended: [...this.endedRuns],
      lastEnd: Math.max(0, ...this.endedRuns.map((end) => end.number)),
      unreadableRows: 0,
      isComplete: true,
    };
  }

  private start(order: StartOrder, sentAtMs: number): StartReply {
    if (order.token < this.token) return { kind: 'refused', reason: 'fence' };
    this.token = order.token;
    this.extendLease(order.leaseUntilMs);
    const started: StartReply = { kind: 'started', clockMs: this.readClockMs() };
    if (this.runs.get(order.task)?.run === order.run) return started;
    if ((this.highestFinishedRuns.get(order.task) ?? 0) >= order.run)
      return { kind: 'refused', reason: 'old' };
    if (order.leaseUntilMs < this.readClockMs()) return { kind: 'refused', reason: 'late' };
    const { durationMs, how } = this.options.getRunPlan(order.task, order.run);
    const runPlan = { durationMs: durationMs * this.durationFactor, how };
    const finish = (how: RunEnd): void => {
      this.finish(order.task, order.run, how);
    };
    const gangSize = this.options.getGangSize(order.task);
    const cancel =
      gangSize > 0 || runPlan.durationMs === Number.POSITIVE_INFINITY
        ? (): void => undefined
        : this.options.clock.after(runPlan.durationMs, () => {
            finish(runPlan.how);
          });
    const startedAtMs = this.options.clock.monotonicMs();
    this.runs.set(order.task, {
      task: order.task,
      run: order.run,
      startedAtMs,
      plannedDurationMs: Math.max(1, runPlan.durationMs),
      cancel,
      sharePercent: 100,
    });
    this.recordEvent('started', order.task, order.run, undefined, sentAtMs, order.checkpoint);
    if (gangSize > 0) {
      const key = formatGangKey(order.task, order.run);
      this.options.gangs.join(key, order.task, gangSize, runPlan, finish);
    }
    return started;
  }

  private stop(task: string, run: number, token: number): StopReply {
    if (token < this.token) return StopReply.fenced;
    this.token = token;
    this.highestFinishedRuns.set(task, Math.max(run, this.highestFinishedRuns.get(task) ?? 0));
    if (this.runs.get(task)?.run === run)
      this.options.clock.after(this.stopDurationMs, () => {
        this.finish(task, run, RunEnd.stopped);
      });
    return StopReply.confirmed;
  }

  private pace(task: string, run: number, percent: number, token: number): PaceReply {
    if (token < this.token) return PaceReply.fenced;
    this.token = token;
    const activeRun = this.runs.get(task);
    if (activeRun?.run === run) activeRun.sharePercent = percent;
    return PaceReply.paced;
  }

  /** Computes the tail latency in ms of the serving tasks, which grows with the best-effort tasks' shares. */
  computeTailLatencyMs(): number {
    let bestEffortShare = 0;
    for (const run of this.runs.values())
      if (this.options.isBestEffort(run.task)) bestEffortShare += run.sharePercent / 100;
    return BASE_TAIL_MS + BEST_EFFORT_TAIL_MS * bestEffortShare;
  }

  private finish(task: string, run: number, how: RunEnd): void {
    const activeRun = this.runs.get(task);
    if (activeRun?.run !== run || !this.isUp) return;
    activeRun.cancel();
    const checkpoint = this.findCheckpoint(task, run);
    this.runs.delete(task);
    this.highestFinishedRuns.set(task, Math.max(run, this.highestFinishedRuns.get(task) ?? 0));
    this.endCount += 1;
    this.leaseExpiryCountAtEnd.set(this.endCount, this.leaseExpiryCount);
    this.endedRuns.push({ number: this.endCount, task, run, how, checkpoint });
    for (const endWait of [...this.runEndWaiters]) endWait();
    this.recordEvent('ended', task, run, how);
    this.options.gangs.leave(formatGangKey(task, run), task);
  }

  /** Extends the lease; if it expires, all runs end as `lapsed`. */
  private extendLease(untilMs: number): void {
    if (untilMs <= this.leaseUntilMs) return;
    this.leaseUntilMs = untilMs;
    this.options.clock.after(untilMs - this.readClockMs(), () => {
      if (this.readClockMs() < this.leaseUntilMs || !this.isUp) return;
      this.leaseExpiryCount += 1;
      for (const run of [...this.runs.values()]) this.finish(run.task, run.run, RunEnd.lapsed);
    });
  }

  /** Returns the newest checkpoint of a member of a gang, which makes one every second; empty for other tasks. */
  private findCheckpoint(task: string, run: number): string {
    const activeRun = this.runs.get(task);
    if (activeRun?.run !== run || this.options.getGangSize(task) === 0) return '';
    const seconds = Math.floor((this.options.clock.monotonicMs() - activeRun.startedAtMs) / 1_000);
    return seconds === 0 ? '' : `${task}/${run} after ${seconds} s`;
  }

  /** Returns the time on the worker's clock. */
  private readClockMs(): number {
    return this.options.clock.monotonicMs() - this.incarnationStartMs;
  }

  private recordEvent(
    kind: HistoryEvent['kind'],
    task: string,
    run: number,
    how: RunEnd | undefined,
    sentAtMs?: number,
    checkpoint?: string,
  ): void {
    const atMs = this.options.clock.monotonicMs();
    this.options.recordEvent({
      atMs,
      sentAtMs: sentAtMs ?? atMs,
      kind,
      task,
      run,
      worker: this.entry.id,
      ...(checkpoint === undefined ? {} : { checkpoint }),
      how,
    });
  }

  /** Waits until a run ends or the worker crashes, `timeoutMs` at most. */
  private waitForRunEnd(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const endWait = (): void => {
        cancel();
        this.runEndWaiters.delete(endWait);
        resolve();
      };
      const cancel = this.options.clock.after(timeoutMs, endWait);
      this.runEndWaiters.add(endWait);
    });
  }

  private wait(ms: number): Promise<void> {
    return new Promise((resolve) => this.options.clock.after(ms, resolve));
  }
}

/** Returns the completed share of the work in percent; 100 for a long-running task that is at work. */
function computePercent(elapsedMs: number, plannedDurationMs: number): number {
  if (plannedDurationMs === Number.POSITIVE_INFINITY)
    return elapsedMs >= longRunningStartupMs ? 100 : 0;
  return Math.min(99, Math.floor((elapsedMs * 100) / plannedDurationMs));
}

/** Returns the key of a gang: its step, which is the task name without the task index, and its run. */
function formatGangKey(task: string, run: number): string {
  return `${task.slice(0, task.lastIndexOf('.'))}/${run}`;
}
