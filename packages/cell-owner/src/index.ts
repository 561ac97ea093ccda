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
import { AdviceCache } from './advice-cache.js';
import { AdviceScheduler } from './advice-scheduler.js';
import { BegunJobs } from './begun-jobs.js';
import { callTimeouts } from './call-timeouts.js';
import { estimateRemainingMs } from './estimate-remaining-ms.js';
import { limits } from './limits.js';
import { Proposals } from './proposals.js';
import { RunTracker } from './run-tracker.js';
import { RunTable } from './run-table.js';
import type { RunView } from './run-view.js';
import type { OwnerContext } from './owner-context.js';
import { PlanLoop } from './plan-loop.js';
import { RunMonitor } from './run-monitor.js';
import { StartSender } from './start-sender.js';
import { StartWindow } from './start-window.js';
import { WorkerHealth } from './worker-health.js';
import { WorkerSession } from './worker-session.js';

interface Options {
  clock: Clock;
  log: EventLog;
  count: (name: string, by?: number) => void;
  state: CellState;
  token: number;
  /** Appends records under the owner's epoch; each is passed to `observe` after it was applied. */
  append: (records: CellRecord[]) => void;
  /** Age in ms of the newest acknowledged append. */
  storeSilentMs: () => number;
  /** Event-loop delay of this process in ms. */
  loopDelayMs: () => number;
  /** Creates the client for the calls to one incarnation of a worker. */
  connect: (entry: WorkerEntry) => WorkerClient;
  /** Calls the advice service from this process. */
  advise: AdviceClient;
  /**
   * Called when a worker has seen a higher fencing token, so that this process is no longer the owner.
   */
  onFenced: () => void;
}

/**
 * Bound on the set of jobs whose end was logged. Beyond it the set is cleared, and the end of a job may
 * be logged twice.
 */
const MAX_LOGGED_JOBS = 10_000;

/**
 * Runs the tasks of the cell while this process is the owner. Every decision is appended to the cell log
 * first and carried out when its record is applied. A successor therefore knows of each decision, and
 * each decision takes the records before it into account, such as a cancel.
 */
export class CellOwner {
  static create(options: Options): CellOwner {
    return new CellOwner(options);
  }

  private readonly sessions = new Map<string, WorkerSession>();
  private readonly runs: RunTable;
  private readonly proposals = Proposals.create();
  private readonly startWindow: StartWindow;
  private readonly adviceCache: AdviceCache;
  private readonly adviceScheduler: AdviceScheduler;
  private readonly workerHealth: WorkerHealth;
  private readonly begunJobs: BegunJobs;
  /** Monotonic time at which this process became owner. */
  private readonly ownedSinceMs: number;
  private isStopped = false;
  /** Number of workers that appeared shortly after this process became owner. */
  private discoveredWorkers = 0;
  /** Sessions whose worker gets no hold calls yet. */
  private readonly unconnectedSessions: WorkerSession[] = [];
  private isConnectScheduled = false;
  private readonly runTracker: RunTracker;
  private readonly startSender: StartSender;
  private readonly planLoop: PlanLoop;
  /** Jobs whose end was logged; runs that are left over may end after their job. */
  private readonly loggedJobs = new Set<string>();
  private cancelTimers: (() => void)[] = [];

  private constructor(private readonly options: Options) {
    const { clock, state } = options;
    this.ownedSinceMs = clock.monotonicMs();
    this.runs = RunTable.create(state, this.ownedSinceMs);
    this.adviceCache = AdviceCache.create(clock);
    this.adviceScheduler = AdviceScheduler.create({ clock, ownClient: options.advise });
    this.workerHealth = WorkerHealth.create(clock);
    this.begunJobs = BegunJobs.create(state, () => {
      clock.after(limits.begunAppendDelayMs, () => {
        if (!this.isStopped) this.append([]);
      });
    });
    this.startWindow = StartWindow.create(
      clock,
      () => options.loopDelayMs() > limits.busyLoopDelayMs,
    );
    const context: OwnerContext = {
      ...options,
      isStopped: () => this.isStopped,
      sessions: this.sessions,
      runs: this.runs,
      proposals: this.proposals,
      startWindow: this.startWindow,
      adviceCache: this.adviceCache,
      workerHealth: this.workerHealth,
      begunJobs: this.begunJobs,
      append: (records) => {
        this.append(records);
      },
      proposeRunEnd: (view, how, reason) => {
        this.proposeRunEnd(view, how, reason);
      },
      sendStop: (session, view) => {
        this.sendStop(session, view);
      },
    };
    this.runTracker = RunTracker.create(context, RunMonitor.create(context));
    this.startSender = StartSender.create(context);
    this.planLoop = PlanLoop.create(context, this.adviceScheduler);
  }

  /** Starts the periodic work: planning, the end of lost runs, reports. */
  start(): void {
    this.options.clock.after(limits.workerDiscoveryMs, () => {
      this.options.log('info', 'workers-found', { workers: this.discoveredWorkers });
    });
    this.repeat(limits.planIntervalMs, () => {
      this.endLostRuns();
      this.stopRunsOnLeavingWorkers();
      this.planLoop.plan();
    });
    this.repeat(limits.waitingReportIntervalMs, () => {
      this.reportWaiting();
    });
  }

  stop(): void {
    this.isStopped = true;
    for (const cancel of this.cancelTimers) cancel();
    for (const session of this.sessions.values()) session.stop();
    this.sessions.clear();
  }

  /** Adds a process that reported that it can call the advice service for the owner. */
  addAdviceHelper(name: string, requestAdvice: AdviceClient): void {
    this.adviceScheduler.addHelper(name, requestAdvice);
  }

  /** Handles the published entry of a worker, new or changed. */
  updateWorker(entry: WorkerEntry): void {
    const known = this.sessions.get(entry.id);
    if (known !== undefined && known.entry.born > entry.born) return;
    if (known !== undefined && known.entry.born < entry.born)
      this.endIncarnation(known, 'a newer incarnation has published an entry');
    const session = this.sessions.get(entry.id);
    if (session === undefined) {
      this.connect(entry);
      return;
    }
    if (session.entry.draining !== entry.draining)
      this.options.log('info', 'worker-draining', { worker: entry.id, draining: entry.draining });
    // The same remaining time as before means that the entry was read again, not published again.
    if (entry.draining && entry.leavesInMs > 0 && entry.leavesInMs !== session.entry.leavesInMs)
      session.leavesAtMs = this.options.clock.monotonicMs() + entry.leavesInMs;
    session.entry = { ...entry, address: session.entry.address };
    session.missingSinceMs = 0;
  }

  /** Marks the workers whose id is not among those of all published entries. */
  markAbsentWorkers(present: ReadonlySet<string>): void {
    for (const session of this.sessions.values()) {
      if (!present.has(session.id)) this.markEntryRemoved(session.id);
    }
  }

  /** Notes that the entry of a worker was removed. */
  markEntryRemoved(id: string): void {
    const session = this.sessions.get(id);
    if (session === undefined || session.missingSinceMs > 0) return;
    session.missingSinceMs = this.options.clock.monotonicMs();
    this.options.log('info', 'worker-entry-missing', {
      worker: id,
      silentMs: Math.round(session.contactAgeMs()),
    });
  }

  /** Handles a record of the cell log; to be called for every record after it was applied. */
  observe(record: CellRecord, effective: boolean): void {
    if (this.isStopped) return;
    this.markJobChanged(record);
    switch (record.kind) {
      case 'start':
        this.startSender.handleStartRecord(record, effective);
        break;
      case 'life':
        this.handleLifeRecord(record.worker);
        break;
      case 'begun':
        this.begunJobs.forget(record.job);
        break;
      case 'end':
        this.handleEndRecord(record);
        break;
      case 'cancel':
        if (effective) this.handleJobEnd(record.id);
        break;
      default:
        break;
    }
    if (record.kind !== 'renew') this.planLoop.schedule();
  }

  /** Marks the job of a record as changed, so that the next planning round lists its steps again. */
  private markJobChanged(record: CellRecord): void {
    if (record.kind === 'job') this.planLoop.markChanged(record.job.id);
    else if (record.kind === 'cancel') this.planLoop.markChanged(record.id);
    else if (record.kind === 'start' || record.kind === 'end')
      this.planLoop.markChanged(taskName.jobOf(record.task));
  }

  /** Returns the state of the owner for the operator. */
  describe(): Record<string, unknown> {
    return {
      token: this.options.token,
      workers: [...this.sessions.values()].map((session) => ({
        id: session.id,
        startable: session.isStartable(),
        reachable: session.isReachable,
        draining: session.entry.draining,
        runs: this.runs.countOn(session.id),
        silentMs: Math.round(session.contactAgeMs()),
      })),
      adviceLanes: this.adviceScheduler.countLanes(),
      starts: { decided: this.proposals.countStarts(), ...this.startWindow.describe() },
    };
  }

  private connect(entry: WorkerEntry): void {
    const { clock, log, token, storeSilentMs, loopDelayMs } = this.options;
    const session = WorkerSession.create({
      clock,
      entry,
      client: this.options.connect(entry),
      token,
      mayExtendLeases: () => storeSilentMs() < limits.maxAppendAgeForLeaseMs,
      loopDelayMs,
      onHeld: (sender, reply, sentMs) => {
        if (this.isStopped) return;
        this.recordLife(sender);
        this.runTracker.handleHeld(sender, reply, sentMs);
        this.planLoop.schedule();
      },
      onFenced: () => {
        this.options.onFenced();
      },
      onGone: (sender, reason) => {
        this.endIncarnation(sender, reason);
      },
      onFault: (sender, error) => {
        log('error', 'worker-reply-not-taken', { worker: sender.id, error: String(error) });
        this.options.count('unexpected_errors_total');
      },
      onReachabilityChanged: (sender, reachable, reason) => {
        log(reachable ? 'info' : 'warn', reachable ? 'worker-reachable' : 'worker-unreachable', {
          worker: sender.id,
          reason,
          runs: this.runs.countOn(sender.id),
        });
      },
    });
    this.sessions.set(entry.id, session);
    this.unconnectedSessions.push(session);
    this.scheduleNextBatch();
    // To a new owner all workers are new; they are logged in one line.
    if (clock.monotonicMs() - this.ownedSinceMs < limits.workerDiscoveryMs)
      this.discoveredWorkers += 1;
    else
      log('info', 'worker-found', { worker: entry.id, address: entry.address, born: entry.born });
  }

  /** Starts the sessions in batches, so that more urgent work runs in between. */
  private scheduleNextBatch(): void {
    if (this.isConnectScheduled) return;
    this.isConnectScheduled = true;
    this.options.clock.after(limits.connectBatchGapMs, () => {
      this.isConnectScheduled = false;
      for (const session of this.unconnectedSessions.splice(0, limits.connectBatchSize))
        void session.keepHeld();
      if (this.unconnectedSessions.length > 0) this.scheduleNextBatch();
    });
  }

  /** Records a worker's incarnation before the first start there, and again if the cell state lost it. */
  private recordLife(session: WorkerSession): void {
    const { born } = session.entry;
    if (session.isLifeRecordPending || this.options.state.lives.get(session.id) === born) return;
    session.isLifeRecordPending = true;
    this.append([{ kind: 'life', worker: session.id, born }]);
  }

  private handleLifeRecord(worker: string): void {
    const session = this.sessions.get(worker);
    if (session !== undefined) session.isLifeRecordPending = false;
  }

  /** Ends the runs of an incarnation that is proven to be over: nothing of it runs any more. */
  private endIncarnation(session: WorkerSession, reason: string): void {
    if (this.sessions.get(session.id) !== session) return;
    this.options.log('warn', 'worker-gone', {
      worker: session.id,
      reason,
      runs: this.runs.countOn(session.id),
    });
    session.stop();
    this.sessions.delete(session.id);
    this.adviceCache.forgetWorker(session.id);
    this.workerHealth.forgetWorker(session.id);
    for (const view of [...this.runs.listOn(session.id)]) {
      // A predecessor may have started a run on a newer incarnation, which lists it when it is reached.
      if (view.born !== 0 && view.born <= session.entry.born)
        this.proposeRunEnd(view, RunEnd.lost, 'worker-gone');
    }
  }

  /** Sends a stop order for a run; repeated with each hold reply while the run is to be stopped. */
  private sendStop(session: WorkerSession, view: RunView): void {
    // A paused owner may have been replaced, and its successor may want the run to go on.
    if (this.options.storeSilentMs() > limits.maxAppendAgeForStopMs) return;
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - view.stopSentMs < limits.stopRepeatIntervalMs) return;
    view.stopSentMs = nowMs;
    const timeoutMs = callTimeouts.otherMs(this.options.loopDelayMs());
    void session.client.stop(view.task, view.run, this.options.token, timeoutMs).then((reply) => {
      if (reply === StopReply.confirmed) {
        view.stopConfirmedMs = this.options.clock.monotonicMs();
        if (view.phase === 'unknown') void session.poll();
      }
      if (reply === StopReply.fenced) this.options.onFenced();
    });
  }

  /** Stops runs that can resume from a checkpoint and would not end before their worker leaves. */
  private stopRunsOnLeavingWorkers(): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const session of this.sessions.values()) {
      if (!session.entry.draining || nowMs < session.leavesAtMs - limits.leaveMarginMs) continue;
      for (const view of this.runs.listOn(session.id)) {
        const step = this.options.state.findStep(view.task);
        const endsAtMs = nowMs + estimateRemainingMs(view, nowMs);
        if (step?.checkpointing === true && endsAtMs > session.leavesAtMs)
          this.sendStop(session, view);
      }
    }
  }

  /** Ends the runs on unreachable workers as lost once all leases there are over. */
  private endLostRuns(): void {
    const nowMs = this.options.clock.monotonicMs();
    const predecessorLeasesOverMs =
      this.ownedSinceMs +
      (limits.maxAppendAgeForLeaseMs + limits.leaseMs) / (1 - limits.clockDrift) +
      limits.clockMarginMs;
    for (const view of [...this.runs.list()]) {
      const session = this.sessions.get(view.worker);
      if (session?.isReachable) continue;
      const leasesOverMs = Math.max(
        session?.hasSeenToken ? 0 : predecessorLeasesOverMs,
        session?.leasesOverMs ?? predecessorLeasesOverMs,
      );
      if (nowMs > leasesOverMs) this.proposeRunEnd(view, RunEnd.lost, 'lease-over');
    }
  }

  /** Appends the end of a run, once a run. */
  private proposeRunEnd(view: RunView, how: RunEnd, reason: string): void {
    if (!this.proposals.addRunEnd(view.task, view.run)) return;
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

  /** Handles the record of a run end: frees its capacity and follows up on the end of its job or gang. */
  private handleEndRecord(record: Extract<CellRecord, { kind: 'end' }>): void {
    this.proposals.removeRunEnd(record.task);
    const view = this.runs.get(record.task);
    if (view?.run !== record.run) return;
    this.runs.remove(record.task);
    const session = this.sessions.get(view.worker);
    if (session !== undefined) this.runTracker.acknowledgeRunEnds(session);
    const ref = taskName.parse(record.task);
    if (ref === undefined) return;
    const ended = this.options.state.ended.get(ref.job);
    if (ended !== undefined) this.handleJobEnd(ref.job);
    else if (record.how !== RunEnd.done) this.stopGang(record.task, record.run);
  }

  /** Logs the end of a job once and stops the runs that are left over. */
  private handleJobEnd(id: string): void {
    const ended = this.options.state.ended.get(id);
    if (ended === undefined || this.loggedJobs.has(id)) return;
    if (this.loggedJobs.size > MAX_LOGGED_JOBS) this.loggedJobs.clear();
    this.loggedJobs.add(id);
    this.adviceCache.forgetJob(id);
    this.begunJobs.forget(id);
    this.workerHealth.forgetJob(id);
    this.options.log('info', 'job-ended', { job: id, outcome: ended.outcome });
    this.options.count(`jobs_${ended.outcome}_total`);
    for (const task of ended.leftovers.keys()) {
      const view = this.runs.get(task);
      const session = view && this.sessions.get(view.worker);
      if (view !== undefined && session !== undefined) this.sendStop(session, view);
    }
  }

  /**
   * Stops the other members of a gang at once when one has ended: they can't go on without it and would
   * only wait.
   */
  private stopGang(task: string, run: number): void {
    const taskEntry = this.options.state.findTask(task);
    const ref = taskName.parse(task);
    if (taskEntry === undefined || ref === undefined) return;
    if (taskEntry.progress.job.steps[ref.step]?.gang !== true) return;
    taskEntry.step.tasks.forEach((member, index) => {
      if (member.phase !== 'placed' || member.run !== run) return;
      const view = this.runs.get(taskName.format({ ...ref, index }));
      const session = view && this.sessions.get(view.worker);
      if (view !== undefined && session !== undefined) this.sendStop(session, view);
    });
  }

  /**
   * Logs by queue how many jobs wait, and for how many a start is recorded that no worker has confirmed.
   */
  private reportWaiting(): void {
    const { state, log } = this.options;
    const unconfirmed = this.begunJobs.countUnconfirmed();
    for (const [queue, waiting] of state.pending)
      if (waiting > 0)
        log('info', 'jobs-waiting', { queue, waiting, unconfirmed: unconfirmed.get(queue) ?? 0 });
  }

  /** Appends records together with those of the jobs that have begun since the last call. */
  private append(records: readonly CellRecord[]): void {
    const all = [...this.begunJobs.takeRecords(), ...records];
    if (all.length > 0) this.options.append(all);
  }

  /** Calls `run` at this interval until the owner stops. */
  private repeat(intervalMs: number, run: () => void): void {
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
