import type { Clock } from '@acaciahoist/clock';
import type { AdviceClient } from '@acaciahoist/cell-types/advice-client';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { StopReply } from '@acaciahoist/cell-types/stop-reply';
import type { WorkerClient } from '@acaciahoist/cell-types/worker-client';
import type { WorkerEntry } from '@acaciahoist/cell-types/worker-entry';
import type { CellState } from '@acaciahoist/cell-state';
import { taskName } from '@acaciahoist/cell-state/task-name';
import type { EventLog } from '@acaciahoist/types/event-log';
import { AdviceBook } from './advice-book.js';
import { AdviceDesk } from './advice-desk.js';
import { BegunJobs } from './begun-jobs.js';
import { callLimits } from './call-limits.js';
import { expectedEnd } from './expected-end.js';
import { limits } from './limits.js';
import { Proposals } from './proposals.js';
import { RunTracker } from './run-tracker.js';
import { RunTable } from './run-table.js';
import type { RunView } from './run-view.js';
import type { OwnerContext } from './owner-context.js';
import { PlanLoop } from './plan-loop.js';
import { RunJudge } from './run-judge.js';
import { StartSender } from './start-sender.js';
import { StartWindow } from './start-window.js';
import { WorkerHealth } from './worker-health.js';
import { WorkerLink } from './worker-link.js';

interface Options {
  clock: Clock;
  log: EventLog;
  count: (name: string, by?: number) => void;
  state: CellState;
  token: number;
  /** Appends records under the owner's epoch; they come back through `observe`. */
  append: (records: CellRecord[]) => void;
  /** Age in ms of the newest acknowledged append. */
  storeSilentMs: () => number;
  /** Delay in ms with which the process gets to its work. */
  loopDelayMs: () => number;
  connect: (entry: WorkerEntry) => WorkerClient;
  advise: AdviceClient;
  /** A worker has seen a higher token. */
  onFenced: () => void;
}

/** Jobs of which it is remembered that their end was logged; more only cost a repeated line. */
const MAX_REPORTED = 10_000;

/**
 * Runs the work of the cell while this process is the owner. Every decision is recorded in the cell log
 * before it is carried out and carried out when it comes back, so that a successor knows of it and all
 * records before it, such as a cancel, are taken into account.
 */
export class CellOwner {
  static create(options: Options): CellOwner {
    return new CellOwner(options);
  }

  private readonly links = new Map<string, WorkerLink>();
  private readonly runs: RunTable;
  private readonly proposals = Proposals.create();
  private readonly window: StartWindow;
  private readonly book: AdviceBook;
  private readonly desk: AdviceDesk;
  private readonly health: WorkerHealth;
  private readonly begun: BegunJobs;
  private readonly ownedSinceMs: number;
  private isStopped = false;
  private foundAtFirst = 0;
  /** Workers that were found and are not yet called. */
  private readonly toRun: WorkerLink[] = [];
  private isRunningSome = false;
  private readonly tracker: RunTracker;
  private readonly starter: StartSender;
  private readonly loop: PlanLoop;
  /** Jobs whose end was logged; several leftover runs end after their job. */
  private readonly reported = new Set<string>();
  private cancelTimers: (() => void)[] = [];

  private constructor(private readonly options: Options) {
    const { clock, state } = options;
    this.ownedSinceMs = clock.monotonicMs();
    this.runs = RunTable.create(state, this.ownedSinceMs);
    this.book = AdviceBook.create(clock);
    this.desk = AdviceDesk.create({ clock, own: options.advise });
    this.health = WorkerHealth.create(clock);
    this.begun = BegunJobs.create(state, () => {
      clock.after(limits.begunDelayMs, () => {
        if (!this.isStopped) this.append([]);
      });
    });
    this.window = StartWindow.create(clock, () => options.loopDelayMs() > limits.busyDelayMs);
    const context: OwnerContext = {
      ...options,
      isStopped: () => this.isStopped,
      links: this.links,
      runs: this.runs,
      proposals: this.proposals,
      window: this.window,
      book: this.book,
      health: this.health,
      begun: this.begun,
      append: (records) => {
        this.append(records);
      },
      proposeEnd: (view, how, reason) => {
        this.proposeEnd(view, how, reason);
      },
      sendStop: (link, view) => {
        this.sendStop(link, view);
      },
    };
    this.tracker = RunTracker.create(context, RunJudge.create(context));
    this.starter = StartSender.create(context);
    this.loop = PlanLoop.create(context, this.desk);
  }

  start(): void {
    this.options.clock.after(limits.firstWorkersMs, () => {
      this.options.log('info', 'workers-found', { workers: this.foundAtFirst });
    });
    this.every(limits.planTickMs, () => {
      this.concludeLostRuns();
      this.moveFromLeavingWorkers();
      this.loop.plan();
    });
    this.every(limits.waitingReportMs, () => {
      this.reportWaiting();
    });
  }

  stop(): void {
    this.isStopped = true;
    for (const cancel of this.cancelTimers) cancel();
    for (const link of this.links.values()) link.stop();
    this.links.clear();
  }

  /** Another process offers to call the advice service. */
  helperSeen(name: string, ask: AdviceClient): void {
    this.desk.seen(name, ask);
  }

  /** Takes an entry of a worker, new or changed. */
  workerSeen(entry: WorkerEntry): void {
    const known = this.links.get(entry.id);
    if (known !== undefined && known.entry.born > entry.born) return;
    if (known !== undefined && known.entry.born < entry.born) this.endLife(known, 'born anew');
    const link = this.links.get(entry.id);
    if (link === undefined) {
      this.connect(entry);
      return;
    }
    if (link.entry.draining !== entry.draining)
      this.options.log('info', 'worker-draining', { worker: entry.id, draining: entry.draining });
    // An entry that is read again unchanged says nothing new about the time that is left.
    if (entry.draining && entry.leavesInMs > 0 && entry.leavesInMs !== link.entry.leavesInMs)
      link.leavesAtMs = this.options.clock.monotonicMs() + entry.leavesInMs;
    link.entry = { ...entry, address: link.entry.address };
    link.missingSinceMs = 0;
  }

  /** Takes the ids of all entries that are present. */
  workersPresent(present: ReadonlySet<string>): void {
    for (const link of this.links.values()) {
      if (!present.has(link.id)) this.workerMissing(link.id);
    }
  }

  /** The entry of a worker was removed. */
  workerMissing(id: string): void {
    const link = this.links.get(id);
    if (link === undefined || link.missingSinceMs > 0) return;
    link.missingSinceMs = this.options.clock.monotonicMs();
    this.options.log('info', 'worker-entry-missing', {
      worker: id,
      silentMs: Math.round(link.silentMs()),
    });
  }

  /** To be called for every record of the cell log, after it was applied. */
  observe(record: CellRecord, effective: boolean): void {
    if (this.isStopped) return;
    this.touch(record);
    switch (record.kind) {
      case 'start':
        this.starter.startRecorded(record, effective);
        break;
      case 'life':
        this.lifeRecorded(record.worker);
        break;
      case 'begun':
        this.begun.forget(record.job);
        break;
      case 'end':
        this.endRecorded(record);
        break;
      case 'cancel':
        if (effective) this.jobEnded(record.id);
        break;
      default:
        break;
    }
    if (record.kind !== 'renew') this.loop.request();
  }

  private touch(record: CellRecord): void {
    if (record.kind === 'job') this.loop.touch(record.job.id);
    else if (record.kind === 'cancel') this.loop.touch(record.id);
    else if (record.kind === 'start' || record.kind === 'end')
      this.loop.touch(taskName.jobOf(record.task));
  }

  describe(): Record<string, unknown> {
    return {
      token: this.options.token,
      workers: [...this.links.values()].map((link) => ({
        id: link.id,
        startable: link.isStartable(),
        reachable: link.isReachable,
        draining: link.entry.draining,
        runs: this.runs.countOn(link.id),
        silentMs: Math.round(link.silentMs()),
      })),
      adviceLanes: this.desk.size(),
      starts: { decided: this.proposals.countStarts(), ...this.window.describe() },
    };
  }

  private connect(entry: WorkerEntry): void {
    const { clock, log, token, storeSilentMs, loopDelayMs } = this.options;
    const link = WorkerLink.create({
      clock,
      entry,
      client: this.options.connect(entry),
      token,
      mayExtend: () => storeSilentMs() < limits.extendWithoutStoreMs,
      loopDelayMs,
      onHeld: (from, reply, sentMs) => {
        if (this.isStopped) return;
        this.recordLife(from);
        this.tracker.held(from, reply, sentMs);
        this.loop.request();
      },
      onFenced: () => {
        this.options.onFenced();
      },
      onGone: (from, reason) => {
        this.endLife(from, reason);
      },
      onFault: (from, error) => {
        log('error', 'worker-reply-not-taken', { worker: from.id, error: String(error) });
        this.options.count('unexpected_errors_total');
      },
      onReachable: (from, reachable, reason) => {
        log(reachable ? 'info' : 'warn', reachable ? 'worker-regained' : 'worker-lost', {
          worker: from.id,
          reason,
          runs: this.runs.countOn(from.id),
        });
      },
    });
    this.links.set(entry.id, link);
    this.toRun.push(link);
    this.runSome();
    // After a take-over all workers are new to the owner; one line says so.
    if (clock.monotonicMs() - this.ownedSinceMs < limits.firstWorkersMs) this.foundAtFirst += 1;
    else
      log('info', 'worker-found', { worker: entry.id, address: entry.address, born: entry.born });
  }

  /** Connects to some workers at a time, so that what is more urgent gets its turn in between. */
  private runSome(): void {
    if (this.isRunningSome) return;
    this.isRunningSome = true;
    this.options.clock.after(limits.connectGapMs, () => {
      this.isRunningSome = false;
      for (const link of this.toRun.splice(0, limits.connectedAtOnce)) void link.run();
      if (this.toRun.length > 0) this.runSome();
    });
  }

  /** Records the life of a worker before the first start there, and again if the state has forgotten it. */
  private recordLife(link: WorkerLink): void {
    const { born } = link.entry;
    if (link.isLifeOnItsWay || this.options.state.lives.get(link.id) === born) return;
    link.isLifeOnItsWay = true;
    this.append([{ kind: 'life', worker: link.id, born }]);
  }

  private lifeRecorded(worker: string): void {
    const link = this.links.get(worker);
    if (link !== undefined) link.isLifeOnItsWay = false;
  }

  /** A life of a worker is proven over: nothing runs there any more. */
  private endLife(link: WorkerLink, reason: string): void {
    if (this.links.get(link.id) !== link) return;
    this.options.log('warn', 'worker-gone', {
      worker: link.id,
      reason,
      runs: this.runs.countOn(link.id),
    });
    link.stop();
    this.links.delete(link.id);
    this.book.forgetWorker(link.id);
    this.health.forgetWorker(link.id);
    for (const view of [...this.runs.on(link.id)]) {
      // A predecessor may have started the run on a newer life, which lists it when it is reached.
      if (view.born !== 0 && view.born <= link.entry.born)
        this.proposeEnd(view, RunEnd.lost, 'worker-gone');
    }
  }

  /** Stops a run. What is to be stopped is found again with each answer of the worker. */
  private sendStop(link: WorkerLink, view: RunView): void {
    // An owner that stood still may have been replaced, and its successor may have other plans.
    if (this.options.storeSilentMs() > limits.stopWithoutStoreMs) return;
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - view.stopSentMs < limits.stopRepeatMs) return;
    view.stopSentMs = nowMs;
    const timeoutMs = callLimits.otherMs(this.options.loopDelayMs());
    void link.client.stop(view.task, view.run, this.options.token, timeoutMs).then((reply) => {
      if (reply === StopReply.confirmed) {
        view.stopConfirmedMs = this.options.clock.monotonicMs();
        if (view.phase === 'unknown') void link.look();
      }
      if (reply === StopReply.fenced) this.options.onFenced();
    });
  }

  /** Stops work that can resume from a checkpoint and would not end before its worker leaves. */
  private moveFromLeavingWorkers(): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const link of this.links.values()) {
      if (!link.entry.draining || nowMs < link.leavesAtMs - limits.leaveMarginMs) continue;
      for (const view of this.runs.on(link.id)) {
        const step = this.options.state.stepOf(view.task);
        const endsAtMs = nowMs + expectedEnd(view, nowMs);
        if (step?.checkpointing === true && endsAtMs > link.leavesAtMs) this.sendStop(link, view);
      }
    }
  }

  /** Gives up runs on workers out of reach once all leases there are over. */
  private concludeLostRuns(): void {
    const nowMs = this.options.clock.monotonicMs();
    const formerMs =
      this.ownedSinceMs +
      (limits.extendWithoutStoreMs + limits.leaseMs) / (1 - limits.clockDrift) +
      limits.clockMarginMs;
    for (const view of [...this.runs.all()]) {
      const link = this.links.get(view.worker);
      if (link?.isReachable) continue;
      const overMs = Math.max(link?.isFenced ? 0 : formerMs, link?.leaseOverMs ?? formerMs);
      if (nowMs > overMs) this.proposeEnd(view, RunEnd.lost, 'lease-over');
    }
  }

  private proposeEnd(view: RunView, how: RunEnd, reason: string): void {
    if (!this.proposals.addEnd(view.task, view.run)) return;
    this.options.count(`runs_ended_${how}_total`);
    if (how !== RunEnd.done)
      this.options.log('info', 'run-ended', {
        task: view.task,
        run: view.run,
        worker: view.worker,
        how,
        reason,
      });
    const { task, run, checkpoint } = view;
    this.append([{ kind: 'end', task, run, how, saved: checkpoint }]);
  }

  private endRecorded(record: Extract<CellRecord, { kind: 'end' }>): void {
    this.proposals.takeEnd(record.task);
    const view = this.runs.get(record.task);
    if (view?.run !== record.run) return;
    this.runs.remove(record.task);
    const link = this.links.get(view.worker);
    if (link !== undefined) this.tracker.acknowledgeEnds(link);
    const ref = taskName.parse(record.task);
    if (ref === undefined) return;
    const ended = this.options.state.ended.get(ref.job);
    if (ended !== undefined) this.jobEnded(ref.job);
    else if (record.how !== RunEnd.done) this.stopGang(record.task, record.run);
  }

  private jobEnded(id: string): void {
    const ended = this.options.state.ended.get(id);
    if (ended === undefined || this.reported.has(id)) return;
    if (this.reported.size > MAX_REPORTED) this.reported.clear();
    this.reported.add(id);
    this.book.forgetJob(id);
    this.begun.forget(id);
    this.health.forgetJob(id);
    this.options.log('info', 'job-ended', { job: id, outcome: ended.outcome });
    this.options.count(`jobs_${ended.outcome}_total`);
    for (const task of ended.leftovers.keys()) {
      const view = this.runs.get(task);
      const link = view && this.links.get(view.worker);
      if (view !== undefined && link !== undefined) this.sendStop(link, view);
    }
  }

  /** The rest of a gang cannot go on without a member: stops it at once instead of letting it wait. */
  private stopGang(task: string, run: number): void {
    const found = this.options.state.taskOf(task);
    const ref = taskName.parse(task);
    if (found === undefined || ref === undefined) return;
    if (found.progress.job.steps[ref.step]?.gang !== true) return;
    found.step.tasks.forEach((member, index) => {
      if (member.phase !== 'placed' || member.run !== run) return;
      const view = this.runs.get(taskName.format({ ...ref, index }));
      const link = view && this.links.get(view.worker);
      if (view !== undefined && link !== undefined) this.sendStop(link, view);
    });
  }

  /** Logs how many jobs wait, and for how many of them a start is recorded that no worker has confirmed. */
  private reportWaiting(): void {
    const { state, log } = this.options;
    const unconfirmed = this.begun.countUnconfirmed();
    for (const [queue, waiting] of state.pending)
      if (waiting > 0)
        log('info', 'jobs-waiting', { queue, waiting, unconfirmed: unconfirmed.get(queue) ?? 0 });
  }

  /** Appends records together with the beginnings of jobs that were confirmed since the last time. */
  private append(records: readonly CellRecord[]): void {
    const all = [...this.begun.take(), ...records];
    if (all.length > 0) this.options.append(all);
  }

  private every(intervalMs: number, run: () => void): void {
    const index = this.cancelTimers.length;
    const schedule = (): void => {
      this.cancelTimers[index] = this.options.clock.after(intervalMs, () => {
        run();
        if (!this.isStopped) schedule();
      });
    };
    schedule();
  }
}
