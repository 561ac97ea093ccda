import type { AdviceClient } from '@acaciahoist/cell-types/advice-client';
import type { CellJob } from '@acaciahoist/cell-types';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { HoldReply } from '@acaciahoist/cell-types/hold-reply';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import type { WorkerClient } from '@acaciahoist/cell-types/worker-client';
import type { WorkerEntry } from '@acaciahoist/cell-types/worker-entry';
import { taskName } from '@acaciahoist/cell-state/task-name';
import { AdviceCache } from './advice-cache.js';
import { AdviceScheduler } from './advice-scheduler.js';
import { BegunJobs } from './begun-jobs.js';
import { CopyPlanner } from './copy-planner.js';
import { copySettings } from './copy-settings.js';
import { DisruptionBudget } from './disruption-budget.js';
import { Evacuator } from './evacuator.js';
import type { JobExplanation } from './job-explanation.js';
import { limits } from './limits.js';
import { Proposals } from './proposals.js';
import { RunTracker } from './run-tracker.js';
import { RunTable } from './run-table.js';
import type { TrackedRun } from './tracked-run.js';
import type { OwnerContext } from './owner-context.js';
import type { PlacementExplanation } from './placement-explanation.js';
import { PlanLoop } from './plan-loop.js';
import { reportPending } from './report-pending.js';
import { RunMonitor } from './run-monitor.js';
import { sendStop } from './send-stop.js';
import { StallRecords } from './stall-records.js';
import { StartSender } from './start-sender.js';
import { StartWindow } from './start-window.js';
import type { TeamBacklog } from './team-backlog.js';
import { WorkerHealth } from './worker-health.js';
import { WorkerLeases } from './worker-leases.js';
import { WorkerSession } from './worker-session.js';

type HeldReply = Extract<HoldReply, { kind: 'held' }>;

interface Options extends Pick<
  OwnerContext,
  'clock' | 'log' | 'count' | 'state' | 'token' | 'loopDelayMs' | 'teams'
> {
  /** Appends records under the owner's epoch; each is passed to `observe` after it was applied. */
  append: (records: CellRecord[]) => void;
  /** Age in ms of the newest acknowledged append. */
  lastAppendAgeMs: () => number;
  /** Longest lease in ms that a worker grants, on its own clock. */
  maxLeaseMs: number;
  /** Monotonic time at which this process applied its claim. */
  claimedAtMs: number;
  /** Monotonic time of this process by which all records of the former owners were in the log. */
  formerRecordAtMs: number;
  /** Creates the client for the calls to one incarnation of a worker. */
  connect: (entry: WorkerEntry) => WorkerClient;
  /** Calls the advice service from this process. */
  advise: AdviceClient;
  /** Called when a worker has seen a higher fencing token: this process is no longer the owner. */
  onFenced: () => void;
}

/**
 * Bound on the set of jobs whose end was logged. When the set exceeds it, the set is cleared, and the end of
 * a job may be logged twice.
 */
const MAX_LOGGED_JOBS = 10_000;

/**
 * Runs the tasks of the cell while this process is the owner. Every decision is appended to the cell log
 * first and executed when its record is applied. A successor therefore knows of each decision, and each
 * decision takes the records before it into account, such as a cancel.
 */
export class CellOwner {
  static create(options: Options): CellOwner {
    return new CellOwner(options);
  }

  private readonly sessions = new Map<string, WorkerSession>();
  /**
   * Sessions for entries that name another incarnation or address than the session in `sessions`, and that no
   * worker has confirmed by an answer yet, by worker.
   */
  private readonly candidates = new Map<string, WorkerSession>();
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
  private discoveredWorkerCount = 0;
  /** Sessions whose worker gets no hold calls yet. */
  private readonly unconnectedSessions: WorkerSession[] = [];
  private isConnectScheduled = false;
  private readonly stallRecords: StallRecords;
  private readonly runMonitor: RunMonitor;
  private readonly runTracker: RunTracker;
  private readonly startSender: StartSender;
  private readonly workerLeases: WorkerLeases;
  private readonly planLoop: PlanLoop;
  private readonly evacuator: Evacuator;
  private readonly copyPlanner: CopyPlanner;
  /** Jobs whose end was logged. A leftover run may end after its job, whose end is not logged again. */
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
      proposeRunEnd: (trackedRun, how, reason) => {
        this.proposeRunEnd(trackedRun, how, reason);
      },
      sendStop: (session, trackedRun) => {
        sendStop(options, session, trackedRun);
      },
    };
    this.stallRecords = StallRecords.create(context, options.claimedAtMs);
    this.runMonitor = RunMonitor.create(context, this.stallRecords);
    this.runTracker = RunTracker.create(context, this.runMonitor, this.stallRecords);
    this.startSender = StartSender.create(context);
    this.evacuator = Evacuator.create(context, DisruptionBudget.create(context));
    this.planLoop = PlanLoop.create(context, this.adviceScheduler);
    this.copyPlanner = CopyPlanner.create({
      context,
      claimedAtMs: options.claimedAtMs,
      listWaitingSteps: () => this.planLoop.listWaitingSteps(),
    });
    this.workerLeases = WorkerLeases.create(context, options);
  }

  /** Starts the periodic work: planning rounds, the check for lost runs, the log of pending jobs. */
  start(): void {
    this.options.clock.after(limits.workerDiscoveryMs, () => {
      this.options.log('info', 'workers-found', { workers: this.discoveredWorkerCount });
    });
    this.repeat(limits.planIntervalMs, () => {
      this.workerLeases.endLostRuns();
      this.evacuator.evacuate();
      this.copyPlanner.copyRuns.advance();
      this.planLoop.plan();
    });
    this.repeat(copySettings.intervalMs, () => {
      this.copyPlanner.plan();
    });
    this.repeat(limits.pendingReportIntervalMs, () => {
      reportPending(this.options.state, this.begunJobs, this.options.log);
    });
  }

  /** Stops all work and closes the sessions; a stopped owner is not started again. */
  stop(): void {
    this.isStopped = true;
    for (const cancel of this.cancelTimers) cancel();
    for (const session of this.sessions.values()) session.stop();
    this.sessions.clear();
    for (const candidate of this.candidates.values()) candidate.stop();
    this.candidates.clear();
  }

  /** Adds a process that reported that it can call the advice service for the owner. */
  addAdviceHelper(name: string, requestAdvice: AdviceClient): void {
    this.adviceScheduler.addHelper(name, requestAdvice);
  }

  /**
   * Handles the published entry of a worker, new or changed, which was first read at the monotonic time
   * `readAtMs`.
   */
  updateWorker(entry: WorkerEntry, readAtMs: number): void {
    const session = this.sessions.get(entry.id);
    if (session === undefined) {
      this.sessions.set(entry.id, this.openSession(entry, readAtMs));
      return;
    }
    const { born, address } = session.entry;
    const isConfirmed = session.hasSeenToken;
    if (entry.born < born && isConfirmed) return;
    if (entry.born !== born || (entry.address !== address && !isConfirmed)) {
      this.updateCandidate(session, entry, readAtMs);
      return;
    }
    this.dropCandidate(entry.id);
    if (session.entry.draining !== entry.draining)
      this.options.log('info', 'worker-draining', { worker: entry.id, draining: entry.draining });
    setLeavingTime(session, entry, readAtMs);
    session.entry = { ...entry, address };
    session.missingSinceMs = 0;
    session.isEntryReadable = true;
    session.hasOtherEntry = false;
  }

  /**
   * Handles an entry of another incarnation than that of the session, or with another address. It may come from
   * another program: it proves nothing about the runs of the session until the worker answers as this incarnation.
   */
  private updateCandidate(session: WorkerSession, entry: WorkerEntry, readAtMs: number): void {
    const candidate = this.candidates.get(entry.id);
    if (candidate?.entry.born === entry.born && candidate.entry.address === entry.address) {
      setLeavingTime(candidate, entry, readAtMs);
      candidate.entry = entry;
      candidate.isEntryReadable = true;
      return;
    }
    // An entry to which no client can connect must not replace another one.
    const newCandidate = this.openSession(entry, readAtMs);
    this.dropCandidate(entry.id);
    this.candidates.set(entry.id, newCandidate);
    session.hasOtherEntry = true;
  }

  private dropCandidate(id: string): void {
    this.candidates.get(id)?.stop();
    this.candidates.delete(id);
  }

  /**
   * Records that the published entry of a worker cannot be decoded. The worker gets no starts until it has a
   * readable entry again, and keeps its runs: the entry may come from another program.
   */
  markEntryUnreadable(id: string): void {
    for (const session of [this.sessions.get(id), this.candidates.get(id)])
      if (session !== undefined) session.isEntryReadable = false;
  }

  /** Marks the workers without a published entry; `publishedIds` has the ids of all entries. */
  markMissingEntries(publishedIds: ReadonlySet<string>): void {
    for (const session of this.sessions.values()) {
      if (!publishedIds.has(session.id)) this.markEntryMissing(session.id);
    }
  }

  /** Records that the entry of a worker was removed; it gets no starts after `missingEntryGraceMs`. */
  markEntryMissing(id: string): void {
    this.dropCandidate(id);
    const session = this.sessions.get(id);
    if (session === undefined || session.missingSinceMs > 0) return;
    session.missingSinceMs = this.options.clock.monotonicMs();
    this.options.log('info', 'worker-entry-missing', {
      worker: id,
      silentMs: Math.round(session.contactAgeMs()),
    });
  }

  /**
   * Handles a record of the cell log. Must be called for every record after it was applied; `isEffective` is
   * false if it did not change the cell state.
   */
  observe(record: CellRecord, isEffective: boolean): void {
    if (this.isStopped) return;
    this.markJobChanged(record);
    switch (record.kind) {
      case 'start':
        if (!this.copyPlanner.copyRuns.handleStart(record, isEffective))
          this.startSender.handleStartRecord(record, isEffective);
        break;
      case 'life':
        this.handleIncarnationRecord(record.worker);
        break;
      case 'renew':
        this.workerLeases.handleRenewal(record);
        this.copyPlanner.handleRenewal(record, (copy, isEffective) => {
          this.startSender.handleStartRecord(copy, isEffective, true);
          this.planLoop.markChanged(taskName.jobOf(copy.task));
        });
        break;
      case 'begun':
        this.begunJobs.forget(record.job);
        break;
      case 'end':
        this.handleEndRecord(record);
        break;
      case 'cancel':
        if (isEffective) this.handleJobEnd(record.id);
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

  /** Explains why a job that has not ended waits; undefined for any other id. */
  explainJob(id: string): JobExplanation | undefined {
    return this.planLoop.explainJob(id);
  }

  /** Explains where a job that is not in the log would go now. */
  explainPlacement(job: CellJob): PlacementExplanation {
    return this.planLoop.explainPlacement(job);
  }

  /** Returns what is known of the teams while room is short; undefined while it is not. */
  findTeamBacklog(): TeamBacklog | undefined {
    return this.planLoop.findTeamBacklog();
  }

  /** Returns the state of the owner for operators. */
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
      teams: this.planLoop.describeTeams(),
      adviceLanes: this.adviceScheduler.countLanes(),
      starts: { decided: this.proposals.countStarts(), ...this.startWindow.describe() },
    };
  }

  /**
   * Creates the session for the entry; its hold calls start with one of the next batches. Throws for an address to
   * which no client can connect.
   */
  private openSession(entry: WorkerEntry, readAtMs: number): WorkerSession {
    const { clock, log, token, lastAppendAgeMs, loopDelayMs, maxLeaseMs } = this.options;
    const client = this.options.connect(entry);
    const session = WorkerSession.create({
      clock,
      entry,
      client,
      token,
      mayExtendLeases: () => lastAppendAgeMs() < limits.maxAppendAgeForLeaseMs,
      isLeaseWithheld: () => this.workerLeases.isWithheld(entry.id),
      loopDelayMs,
      maxLeaseMs,
      onHeldReply: (workerSession, reply, sentAtMs) => {
        if (this.isStopped) return;
        this.replaceFormerSession(workerSession, reply);
        this.recordIncarnation(workerSession);
        this.workerLeases.handleAnswer(workerSession.id);
        this.runTracker.reconcileRuns(workerSession, reply, sentAtMs);
        this.planLoop.schedule();
      },
      onFenced: () => {
        this.options.onFenced();
      },
      onGone: (workerSession, reason) => {
        this.handleGone(workerSession, reason);
      },
      onOtherIncarnation: (workerSession, reply) => {
        this.handleOtherIncarnation(workerSession, reply);
      },
      onUnexpectedError: (workerSession, error) => {
        log('error', 'worker-reply-not-taken', { worker: workerSession.id, error: String(error) });
        this.options.count('unexpected_errors_total');
      },
      onReachabilityChanged: (workerSession, isReachable, reason) => {
        if (this.sessions.get(workerSession.id) !== workerSession) return;
        log(
          isReachable ? 'info' : 'warn',
          isReachable ? 'worker-reachable' : 'worker-unreachable',
          {
            worker: workerSession.id,
            reason,
            runs: this.runs.countOn(workerSession.id),
          },
        );
      },
    });
    setLeavingTime(session, entry, readAtMs);
    this.unconnectedSessions.push(session);
    this.scheduleNextBatch();
    // All workers are new to a new owner; they are logged in one line.
    if (clock.monotonicMs() - this.ownedSinceMs < limits.workerDiscoveryMs)
      this.discoveredWorkerCount += 1;
    else
      log('info', 'worker-found', { worker: entry.id, address: entry.address, born: entry.born });
    return session;
  }

  /** Starts the hold calls of new sessions in batches, so that more urgent work can run in between. */
  private scheduleNextBatch(): void {
    if (this.isConnectScheduled) return;
    this.isConnectScheduled = true;
    this.options.clock.after(limits.connectBatchGapMs, () => {
      this.isConnectScheduled = false;
      for (const session of this.unconnectedSessions.splice(0, limits.connectBatchSize))
        void session.runHoldLoop();
      if (this.unconnectedSessions.length > 0) this.scheduleNextBatch();
    });
  }

  /**
   * Appends the record of a worker's incarnation before the first start there, and again if the cell state
   * has dropped it.
   */
  private recordIncarnation(session: WorkerSession): void {
    const { born } = session.entry;
    if (
      session.isIncarnationRecordPending ||
      this.options.state.incarnations.get(session.id) === born
    )
      return;
    session.isIncarnationRecordPending = true;
    this.append([{ kind: 'life', worker: session.id, born }]);
  }

  private handleIncarnationRecord(worker: string): void {
    const session = this.sessions.get(worker);
    if (session !== undefined) session.isIncarnationRecordPending = false;
  }

  /** Handles an answer of a candidate, which proves that the earlier incarnations have ended. */
  private replaceFormerSession(candidate: WorkerSession, reply: HeldReply): void {
    if (this.candidates.get(candidate.id) !== candidate) return;
    const former = this.sessions.get(candidate.id);
    const { born } = candidate.entry;
    if (former === undefined) return;
    this.adoptListedRuns(candidate.id, reply);
    this.closeSession(former, `incarnation ${born} has answered`, (ended) => ended < born);
  }

  /**
   * Assigns the runs that a worker lists to the incarnation that lists them. An owner of an earlier version may have
   * sent a start to another incarnation than the one for which it is recorded.
   */
  private adoptListedRuns(worker: string, { born, running, ended }: HeldReply): void {
    for (const { task, run } of [...running, ...ended]) {
      const trackedRun = this.runs.find(task, run);
      if (trackedRun?.worker !== worker || trackedRun.born === born) continue;
      this.options.log('warn', 'run-on-other-incarnation', {
        task,
        run,
        worker,
        recorded: trackedRun.born,
        listedBy: born,
      });
      trackedRun.born = born;
    }
  }

  /** Handles the answer of the process at a worker's address that it is not this worker. */
  private handleGone(session: WorkerSession, reason: string): void {
    if (this.candidates.get(session.id) === session) {
      this.dropCandidate(session.id);
      return;
    }
    // If the worker has not answered here before, its entry may be false, and an earlier incarnation may run.
    const { born } = session.entry;
    this.closeSession(session, reason, (ended) =>
      session.hasSeenToken ? ended <= born : ended === born,
    );
  }

  /** Handles the answer of a worker as another incarnation than the one that its entry names. */
  private handleOtherIncarnation(session: WorkerSession, reply: HeldReply): void {
    const { id, entry } = session;
    const answered = reply.born;
    if (this.candidates.get(id) === session) {
      this.dropCandidate(id);
      return;
    }
    if (this.sessions.get(id) !== session) return;
    if (answered > entry.born || session.hasSeenToken) {
      const reason = `incarnation ${answered} answered instead of ${entry.born}`;
      this.adoptListedRuns(id, reply);
      this.closeSession(session, reason, (ended) => ended < answered || ended === entry.born);
      if (this.sessions.has(id)) return;
    }
    // No entry of the one that answered has been read. Its runs go on, and it gets no starts until then.
    const actual = this.openSession({ ...entry, born: answered }, this.options.clock.monotonicMs());
    actual.hasOtherEntry = true;
    this.sessions.set(id, actual);
    session.stop();
  }

  /**
   * Closes the session of an incarnation that does not exist any more, and ends the runs of those incarnations as
   * lost of which `hasEnded` says that they are proven to have ended.
   */
  private closeSession(
    session: WorkerSession,
    reason: string,
    hasEnded: (born: number) => boolean,
  ): void {
    if (this.sessions.get(session.id) !== session) return;
    this.options.log('warn', 'worker-gone', {
      worker: session.id,
      reason,
      runs: this.runs.countOn(session.id),
    });
    session.stop();
    this.sessions.delete(session.id);
    this.workerLeases.keepClosed(session);
    const candidate = this.candidates.get(session.id);
    if (candidate !== undefined) this.sessions.set(session.id, candidate);
    this.candidates.delete(session.id);
    this.adviceCache.forgetWorker(session.id);
    this.workerHealth.forgetWorker(session.id);
    for (const trackedRun of [...this.runs.listOn(session.id)]) {
      // A run that a predecessor started on a newer or an unknown incarnation may still be running: the
      // worker lists it when its new session begins.
      if (trackedRun.born !== 0 && hasEnded(trackedRun.born))
        this.proposeRunEnd(trackedRun, RunEnd.lost, 'worker-gone');
    }
  }

  /** Appends the end of a run to the log, unless it is already being appended. */
  private proposeRunEnd(trackedRun: TrackedRun, how: RunEnd, reason: string): void {
    if (!this.proposals.addRunEnd(trackedRun.task, trackedRun.run)) return;
    this.options.count(`runs_ended_${how}_total`);
    if (how !== RunEnd.done)
      this.options.log('info', 'run-ended', {
        task: trackedRun.task,
        run: trackedRun.run,
        worker: trackedRun.worker,
        how,
        reason,
      });
    this.copyPlanner.recordEnd(trackedRun, how);
    this.append(this.copyPlanner.copyRuns.createEndRecords(trackedRun, how));
  }

  /** Handles the record of a run end: frees the run's capacity and handles the end of its job or gang. */
  private handleEndRecord(record: Extract<CellRecord, { kind: 'end' }>): void {
    const endedRun = record.copy ?? record.run;
    this.proposals.removeRunEnd(record.task, endedRun);
    const trackedRun = this.runs.find(record.task, endedRun);
    if (trackedRun !== undefined) {
      this.runs.remove(trackedRun);
      this.stallRecords.forget(trackedRun);
      const session = this.sessions.get(trackedRun.worker);
      if (session !== undefined) this.runTracker.acknowledgeRunEnds(session);
    }
    const isCounted = this.copyPlanner.copyRuns.handleEnd(record);
    if (trackedRun === undefined && !isCounted) return;
    const ref = taskName.parse(record.task);
    if (ref === undefined) return;
    const ended = this.options.state.ended.get(ref.job);
    if (ended !== undefined) this.handleJobEnd(ref.job);
    else if (record.how !== RunEnd.done) this.stopGang(record.task, record.run);
  }

  /** Logs the end of a job once and stops its leftover runs. */
  private handleJobEnd(id: string): void {
    const ended = this.options.state.ended.get(id);
    if (ended === undefined || this.loggedJobs.has(id)) return;
    if (this.loggedJobs.size > MAX_LOGGED_JOBS) this.loggedJobs.clear();
    this.loggedJobs.add(id);
    this.adviceCache.forgetJob(id);
    this.begunJobs.forget(id);
    this.workerHealth.forgetJob(id);
    this.runMonitor.forgetJob(id);
    this.options.log('info', 'job-ended', {
      job: id,
      outcome: ended.outcome,
      cellTimeMs: this.options.state.cellTimeMs,
    });
    this.options.count(`jobs_${ended.outcome}_total`);
    this.copyPlanner.copyRuns.handleJobEnd(id);
    for (const task of ended.leftovers.keys()) {
      const trackedRun = this.runs.get(task);
      const session = trackedRun && this.sessions.get(trackedRun.worker);
      if (trackedRun !== undefined && session !== undefined)
        sendStop(this.options, session, trackedRun);
    }
  }

  /** Stops the other members of a gang after one has ended, as they would only wait for it. */
  private stopGang(task: string, run: number): void {
    const taskEntry = this.options.state.findTask(task);
    const ref = taskName.parse(task);
    if (taskEntry === undefined || ref === undefined) return;
    if (taskEntry.progress.job.steps[ref.step]?.gang !== true) return;
    taskEntry.stepProgress.tasks.forEach((member, index) => {
      if (member.phase !== 'placed' || member.run !== run) return;
      const trackedRun = this.runs.get(taskName.format({ ...ref, index }));
      const session = trackedRun && this.sessions.get(trackedRun.worker);
      if (trackedRun !== undefined && session !== undefined)
        sendStop(this.options, session, trackedRun);
    });
  }

  /** Appends records together with the waiting `begun` records of jobs. */
  private append(records: readonly CellRecord[]): void {
    const all = [...this.begunJobs.takeRecords(), ...records];
    if (all.length > 0) this.options.append(all);
  }

  /** Calls `action` at this interval until the owner stops. */
  private repeat(intervalMs: number, action: () => void): void {
    const index = this.cancelTimers.length;
    const schedule = (): void => {
      this.cancelTimers[index] = this.options.clock.after(intervalMs, () => {
        action();
        if (!this.isStopped) schedule();
      });
    };
    schedule();
  }
}

/** Sets when a draining worker may leave, if its entry says so; the remaining time was read at `readAtMs`. */
function setLeavingTime(session: WorkerSession, entry: WorkerEntry, readAtMs: number): void {
  if (entry.draining && entry.leavesInMs > 0) session.leavesAtMs = readAtMs + entry.leavesInMs;
}
