import Result from 'true-myth/result';
import { periodBounds } from '@acaciahoist/account/period-bounds';
import { periodName } from '@acaciahoist/account/period-name';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import { Placement } from '@acaciahoist/placement';
import type { Decision } from '@acaciahoist/placement/decision';
import type { JobEnd } from '@acaciahoist/placement/job-end';
import type { JobSpec } from '@acaciahoist/types/job-spec';
import { NO_WORKERS_BACKLOG_JOBS } from '@acaciahoist/types/no-workers-backlog';
import type { PartitionId } from '@acaciahoist/types/partition-id';
import type { SubmissionReply } from '@acaciahoist/types/submission-reply';
import type { JobStatus } from '@acaciahoist/types/job-status';
import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import type { TeamQuota } from '@acaciahoist/types/team-quota';
import type { TaskOutcome } from '@acaciahoist/types/task-outcome';
import type { WorkerReport } from '@acaciahoist/types/worker-report';
import { describeJob } from './describe-job.js';
import { JobWaiters } from './job-waiters.js';
import { Outbox } from './outbox.js';
import type { PartitionOwnerOptions } from './partition-owner-options.js';
import { restoreJobs } from './restore-jobs.js';
import type { ServiceJob } from './service-job.js';
import { ServiceReconciler } from './service-reconciler.js';
import type { SubmissionRule } from './submission-rule.js';
import { Submissions } from './submissions.js';
import { TaskStarter } from './task-starter.js';
import { TaskTable } from './task-table.js';
import type { WorkerEntry } from './worker-entry.js';
import { WorkerFleet } from './worker-fleet.js';

type StartDecision = Extract<Decision, { type: 'start' }>;

/** Delay before facts that the log refused are appended again. */
const OUTBOX_RETRY_MS = 250;
/** Time between rounds while nothing changes; dates and back-offs are looked at this often. */
const IDLE_ROUND_MS = 250;

const NO_RESOURCES = { millicores: 0, memoryMib: 0, accelerators: {} };

/**
 * Carries out the jobs of one owned partition: journals every decision before it is sent to a worker,
 * keeps the leases of tasks, and records how each task and job ended. Lives as long as the token.
 */
export class PartitionOwner {
  static create(options: PartitionOwnerOptions): PartitionOwner {
    return new PartitionOwner(options);
  }

  private readonly placement: Placement;
  private readonly tasks = TaskTable.create();
  private readonly fleet: WorkerFleet;
  private readonly starter: TaskStarter;
  private readonly outbox: Outbox;
  private readonly waiters: JobWaiters;
  private readonly submissions: Submissions;
  private readonly services: ServiceReconciler;
  private readonly stopping = new Set<string>();
  /** Jobs whose cancel request had an unknown result. */
  private readonly unknownCancels = new Set<string>();
  private readonly listed = new Map<string, WorkerEntry>();
  private cancelRound: () => void = () => undefined;
  private isStopped = false;
  private nextRoundMs = Infinity;
  private closingPeriod = '';

  private constructor(private readonly options: PartitionOwnerOptions) {
    const { clock, ledger } = options;
    this.placement = Placement.create(options.placement);
    this.waiters = JobWaiters.create(clock);
    this.outbox = Outbox.create({
      clock,
      commit: async (entries) => {
        const result = await ledger.commit(entries);
        this.waiters.notifyAll();
        return result;
      },
      retryMs: OUTBOX_RETRY_MS,
    });
    this.submissions = Submissions.create({ partition: options.partition, clock, ledger });
    this.services = ServiceReconciler.create({
      clock,
      listJobs: () => ledger.state().jobs.values(),
      submit: (spec) => this.submitService(spec),
      cancel: (jobId) => this.cancel(jobId),
      replace: (jobId, spec) => this.replaceService(jobId, spec),
      isStopped: () => this.isStopped,
    });
    this.fleet = WorkerFleet.create({
      clock,
      client: options.workers,
      taskLeaseMs: options.taskLeaseMs,
      maintainMs: options.maintainMs,
      formerOwnerUntilMs: options.formerOwnerUntilMs,
      findToken: () => (this.isStopped ? undefined : ledger.token()),
      onFenced: (address, report) => {
        this.onFenced(address, report);
      },
      onReport: (address, report) => {
        this.onReport(address, report);
      },
      onSilent: (address) => {
        options.log('worker-silent', { worker: address });
        this.placement.setWorkerState(address, 'suspended');
      },
      onExpired: (address) => {
        this.onExpired(address);
      },
    });
    this.starter = TaskStarter.create({
      clock,
      ledger,
      fleet: this.fleet,
      tasks: this.tasks,
      taskLeaseMs: options.taskLeaseMs,
      startDeadlineMs: options.startDeadlineMs,
      retryMs: options.roundMs,
      isStopped: () => this.isStopped,
      onRefused: (taskId) => {
        this.refuseStart(taskId);
      },
      onStarted: (taskId) => {
        this.confirmStart(taskId);
      },
      onLapsed: (taskId) => {
        this.endTask(taskId, 'lapsed', 0);
      },
      log: options.log,
    });
  }

  /** Loads the journalled jobs and begins to act. Call `setWorkers` first. */
  start(): void {
    const { ledger, clock } = this.options;
    for (const job of ledger.state().jobs.values()) {
      for (const task of job.tasks.values()) {
        if (task.state !== 'ended') this.addUnlistedWorker(task.worker);
      }
    }
    const ends = restoreJobs(ledger.state(), this.placement, this.tasks, clock);
    this.record([], ends);
    this.scheduleRound(this.options.roundMs);
  }

  /** Stops acting at once. Tasks go on at their workers until their leases expire. */
  stop(): void {
    this.isStopped = true;
    this.cancelRound();
    this.fleet.stop();
    this.outbox.stop();
    this.waiters.notifyAll();
  }

  /** Appends what waits in the outbox, for a planned stop. */
  async flush(): Promise<void> {
    await this.outbox.flush();
  }

  /** Takes the partition's part of the platform's list. A worker that vanished keeps its tasks until they expire. */
  setWorkers(workers: readonly WorkerEntry[]): void {
    const nowMs = this.options.clock.monotonicMs();
    const present = new Set(workers.map((worker) => worker.address));
    for (const worker of workers) {
      const known = this.listed.get(worker.address);
      this.listed.set(worker.address, worker);
      if (known === undefined) this.placement.addWorker(worker, nowMs);
      if (known === undefined) this.placement.setWorkerState(worker.address, 'suspended');
      this.fleet.add(worker.address);
      if (worker.leaving && known?.leaving !== true)
        this.placement.setWorkerState(worker.address, 'leaving');
    }
    for (const address of [...this.listed.keys()]) {
      if (!present.has(address)) this.removeIfEmpty(address);
    }
  }

  /** Puts new quotas in force. */
  setTeams(teams: readonly TeamQuota[]): void {
    this.placement.setTeams(teams);
  }

  /** Sets the services that must run here; others are cancelled. */
  setServices(services: readonly ServiceJob[]): void {
    this.services.set(services);
  }

  /**
   * Accepts a job durably. While the partition has no worker the job goes to the partition `fallback`,
   * and every repetition of its key too; without a fallback it is refused as not run. Fails with
   * `never-runnable` after recording the refusal.
   */
  async submit(spec: JobSpec, fallback?: PartitionId): Promise<Result<SubmissionReply, Failure>> {
    const accepted = await this.submissions.accept(spec, this.submissionRule(fallback));
    if (accepted.isErr) return Result.err(accepted.error);
    if (accepted.value.kind === 'delegated') {
      const { partition } = accepted.value;
      this.options.log('job-delegated', { key: spec.key ?? '', to: partition });
      return Result.ok({ delegatedTo: partition });
    }
    const { jobId, isNew } = accepted.value;
    if (!isNew) return Result.ok({ jobId });
    return this.place(jobId, spec);
  }

  /** Records a cancel and stops the job. Repeated calls have no effect. */
  async cancel(jobId: string): Promise<Result<JobStatus, Failure>> {
    const { ledger, clock } = this.options;
    const job = ledger.state().jobs.get(jobId);
    if (job === undefined) return Result.err(notFound(jobId));
    if (job.outcome === null && job.cancelAtMs === null) {
      const result = await ledger.commit([
        { type: 'cancel-requested', jobId, atMs: clock.wallMs() },
      ]);
      if (result.isErr) {
        if (result.error.kind === ErrorKind.appendUnknown) this.unknownCancels.add(jobId);
        return Result.err(result.error);
      }
      const cancelled = this.placement.cancel(jobId, clock.monotonicMs());
      this.requestRound();
      if (cancelled.isOk && cancelled.value !== null) this.record([], [cancelled.value]);
      await this.outbox.flush();
    }
    return this.status(jobId);
  }

  status(jobId: string): Result<JobStatus, Failure> {
    const job = this.options.ledger.state().jobs.get(jobId);
    if (job === undefined) return Result.err(notFound(jobId));
    return Result.ok(describeJob(job, this.placement.why(jobId, this.options.clock.monotonicMs())));
  }

  /** Waits until the state or outcome of the job differs from `knownState`, at most `waitMs`. */
  async waitForStatus(
    jobId: string,
    knownState: string,
    waitMs: number,
  ): Promise<Result<JobStatus, Failure>> {
    const { clock } = this.options;
    const endMs = clock.monotonicMs() + waitMs;
    for (;;) {
      const status = this.status(jobId);
      const leftMs = endMs - clock.monotonicMs();
      if (status.isErr || this.isStopped || leftMs <= 0) return status;
      if (status.value.state !== knownState || status.value.outcome !== undefined) return status;
      await this.waiters.wait(jobId, leftMs);
    }
  }

  /** Journals facts that already happened, in order and after an outage of the log. */
  recordFacts(facts: readonly JournalEntry[]): void {
    this.record(facts, []);
  }

  /** Journals counts of repeatable requests; the sequence number makes a repetition harmless. */
  countRequests(
    entry: Extract<JournalEntry, { type: 'requests-counted' }>,
  ): Promise<Result<void, Failure>> {
    return this.options.ledger.commit([entry]);
  }

  /** Waiting jobs, for the routing of submissions; a partition without workers must not attract any. */
  backlog(): number {
    if (!this.hasWorkers()) return NO_WORKERS_BACKLOG_JOBS;
    const { waiting } = this.placement.describe();
    return waiting.urgent + waiting.service + waiting.gang + waiting.batch;
  }

  private submissionRule(fallback: PartitionId | undefined): SubmissionRule {
    if (this.hasWorkers()) return { kind: 'accept' };
    if (fallback !== undefined) return { kind: 'delegate', partition: fallback };
    const message = `partition ${this.options.partition} has no worker and knows of none elsewhere`;
    return { kind: 'refuse', message };
  }

  /** Accepts a declared service, also while no worker is known: it must run here and nowhere else. */
  private async submitService(spec: JobSpec): Promise<Result<{ jobId: string }, Failure>> {
    const accepted = await this.submissions.accept(spec, { kind: 'accept' });
    return accepted.andThen((submission): Result<{ jobId: string }, Failure> =>
      submission.kind === 'accepted'
        ? this.place(submission.jobId, spec)
        : Result.err(Failure.create(ErrorKind.internal, 'a service has no key')),
    );
  }

  /** True when the partition has a worker that is not leaving. */
  private hasWorkers(): boolean {
    return [...this.listed.values()].some((worker) => !worker.leaving);
  }

  describe(): Record<string, unknown> {
    return {
      placement: this.placement.describe(),
      tasksAtWorkers: this.tasks.size,
      outbox: this.outbox.size,
      workers: this.fleet.describe(),
    };
  }

  /** Hands an accepted job to the placement core; a job that can never run is recorded as refused. */
  private place(jobId: string, spec: JobSpec): Result<{ jobId: string }, Failure> {
    const { clock, log } = this.options;
    log('job-accepted', { job: jobId, kind: spec.kind, team: spec.team });
    const placed = this.placement.submit(jobId, spec, clock.monotonicMs(), clock.wallMs());
    this.requestRound();
    if (placed.isOk) return Result.ok({ jobId });
    const { kind, message, details } = placed.error;
    this.record([], [{ jobId, outcome: 'refused', reason: message }]);
    return Result.err(Failure.create(kind, message, { ...details, jobId }));
  }

  /** Acts on jobs and cancels whose append had an unknown result and is in the journal after all. */
  private settleLateEntries(): void {
    const { ledger, clock } = this.options;
    const { jobs } = ledger.state();
    for (const jobId of this.submissions.takeLateAccepted()) {
      const job = jobs.get(jobId);
      if (job?.outcome === null) this.place(jobId, job.spec);
    }
    for (const jobId of [...this.unknownCancels]) {
      if (jobs.get(jobId)?.cancelAtMs === null) continue;
      this.unknownCancels.delete(jobId);
      const cancelled = this.placement.cancel(jobId, clock.monotonicMs());
      if (cancelled.isOk && cancelled.value !== null) this.record([], [cancelled.value]);
    }
  }

  private scheduleRound(delayMs: number): void {
    this.cancelRound();
    this.nextRoundMs = this.options.clock.monotonicMs() + delayMs;
    this.cancelRound = this.options.clock.after(delayMs, () => {
      if (this.isStopped) return;
      this.nextRoundMs = Infinity;
      this.runRound();
      if (this.placement.hasMore()) this.scheduleRound(0);
      else if (this.nextRoundMs === Infinity) this.scheduleRound(IDLE_ROUND_MS);
    });
  }

  /** Decides soon, because something changed. Changes within `roundMs` share one round. */
  private requestRound(): void {
    const { clock, roundMs } = this.options;
    if (this.isStopped || this.nextRoundMs <= clock.monotonicMs() + roundMs) return;
    this.scheduleRound(roundMs);
  }

  private runRound(): void {
    const { ledger, clock } = this.options;
    const authority = ledger.authority();
    if (authority === 'holding') this.starter.startDueArmed();
    if (authority !== 'leased') return;
    this.settleLateEntries();
    this.closePeriods();
    const decisions = this.placement.decide(clock.monotonicMs(), clock.wallMs());
    if (decisions.length > 0) this.apply(decisions);
  }

  private apply(decisions: readonly Decision[]): void {
    const starts: StartDecision[] = [];
    const facts: JournalEntry[] = [];
    const ends: JobEnd[] = [];
    const atMs = this.options.clock.wallMs();
    for (const decision of decisions) {
      const { jobId, reason } = decision;
      if (decision.type === 'start') starts.push(decision);
      else if (decision.type === 'arm') {
        const { taskId, group, worker } = decision;
        const workerIncarnation = this.fleet.find(worker)?.incarnation ?? '';
        facts.push({ type: 'task-armed', jobId, taskId, group, worker, workerIncarnation, atMs });
      } else if (decision.type === 'refuse') ends.push({ jobId, outcome: 'refused', reason });
      else this.act(decision);
    }
    this.record(facts, ends);
    if (starts.length > 0) void this.starter.start(starts);
  }

  private act(decision: Extract<Decision, { type: 'checkpoint' | 'throttle' | 'stop' }>): void {
    const { taskId, worker, type } = decision;
    this.options.log(`task-${type}`, { task: taskId, worker, reason: decision.reason });
    if (type === 'stop') this.stopping.add(taskId);
    void this.fleet.find(worker)?.act([{ taskId, action: type }]);
  }

  /** The task certainly did not start. */
  private refuseStart(taskId: string): void {
    const task = this.tasks.remove(taskId);
    if (task !== undefined) this.fleet.find(task.worker)?.untrack(taskId);
    const end = this.placement.taskRefused(taskId, this.options.clock.monotonicMs());
    const atMs = this.options.clock.wallMs();
    this.record(
      [{ type: 'task-ended', taskId, outcome: 'refused', atMs }],
      end === null ? [] : [end],
    );
  }

  private confirmStart(taskId: string): void {
    const task = this.tasks.find(taskId);
    if (task === undefined) return;
    // Also for a task that a former owner started, which placement may only now have decided to start.
    this.placement.taskStarted(taskId);
    if (task.state === 'running') return;
    task.state = 'running';
    this.record([{ type: 'task-started', taskId, atMs: this.options.clock.wallMs() }], []);
  }

  private endTask(taskId: string, outcome: TaskOutcome, progressMs: number): void {
    const task = this.tasks.remove(taskId);
    if (task === undefined) return;
    this.stopping.delete(taskId);
    this.fleet.find(task.worker)?.untrack(taskId);
    const { clock } = this.options;
    const end = this.placement.taskEnded(
      taskId,
      outcome,
      clock.monotonicMs(),
      clock.wallMs(),
      progressMs,
    );
    this.record(
      [{ type: 'task-ended', taskId, outcome, atMs: clock.wallMs() }],
      end === null ? [] : [end],
    );
  }

  /** A fence answer is current: a task that it does not list is not at the worker. */
  private onFenced(address: string, report: WorkerReport): void {
    const { clock } = this.options;
    const link = this.fleet.find(address);
    const listed = new Set(report.tasks.map((task) => task.taskId));
    for (const task of this.tasks.listAt(address)) {
      if (listed.has(task.taskId)) link?.track(task.taskId);
      else if (task.state === 'running') this.endTask(task.taskId, 'lapsed', 0);
      else if (clock.monotonicMs() > task.startableUntilMs) {
        this.settleUnlistedStart(task.taskId, report.incarnation);
      }
    }
    for (const task of report.tasks) {
      const isForeign = task.state === 'running' && this.tasks.find(task.taskId) === undefined;
      if (isForeign) void link?.act([{ taskId: task.taskId, action: 'stop' }]);
    }
    this.onReport(address, report);
    const isLeaving = this.listed.get(address)?.leaving === true;
    this.placement.setWorkerState(address, isLeaving ? 'leaving' : 'active');
    this.requestRound();
  }

  /** A start that the worker does not know and will refuse from now on. */
  private settleUnlistedStart(taskId: string, incarnation: string): void {
    const armed = this.options.ledger.state().armed.get(taskId);
    const isAhead = armed !== undefined && (armed.startAtMs ?? 0) > this.options.clock.wallMs();
    if (isAhead) return;
    // Another run of the worker has no memory of what the run before it started.
    if (this.tasks.find(taskId)?.workerIncarnation === incarnation) this.refuseStart(taskId);
    else this.endTask(taskId, 'lapsed', 0);
  }

  private onReport(address: string, report: WorkerReport): void {
    const { clock } = this.options;
    for (const task of report.tasks) {
      if (task.state === 'running') this.confirmStart(task.taskId);
      else this.endTask(task.taskId, task.outcome ?? 'failed', task.progressMs);
    }
    const ends = this.placement.usageReported(address, report, clock.monotonicMs(), clock.wallMs());
    this.record([], ends);
    const again = this.tasks.listAt(address).filter((task) => this.stopping.has(task.taskId));
    if (again.length === 0) return;
    void this.fleet.find(address)?.act(again.map(({ taskId }) => ({ taskId, action: 'stop' })));
  }

  private onExpired(address: string): void {
    this.options.log('worker-expired', {
      worker: address,
      tasks: this.tasks.listAt(address).length,
    });
    for (const task of this.tasks.listAt(address)) this.endTask(task.taskId, 'lapsed', 0);
    this.removeIfEmpty(address);
  }

  private removeIfEmpty(address: string): void {
    this.placement.setWorkerState(address, 'suspended');
    if (this.tasks.listAt(address).length > 0) return;
    this.record([], this.placement.removeWorker(address, this.options.clock.monotonicMs()));
    this.listed.delete(address);
    this.fleet.remove(address);
  }

  /** A worker that has journalled tasks but is not in the platform's list: it may still run them. */
  private addUnlistedWorker(address: string): void {
    if (this.listed.has(address)) return;
    const entry = {
      address,
      rack: '',
      dataCentre: '',
      region: '',
      resources: NO_RESOURCES,
      leaving: false,
    };
    this.listed.set(address, entry);
    this.placement.addWorker(entry, this.options.clock.monotonicMs());
    this.placement.setWorkerState(address, 'suspended');
    this.fleet.add(address);
  }

  /** Task facts and the job ends that follow from them go into one record, so that neither stands alone. */
  private record(facts: readonly JournalEntry[], ends: readonly JobEnd[]): void {
    const atMs = this.options.clock.wallMs();
    const entries = ends.map(({ jobId, outcome, reason }): JournalEntry => {
      this.options.log('job-ended', { job: jobId, outcome, reason });
      return { type: 'job-ended', jobId, outcome, reason, atMs };
    });
    if (facts.length + entries.length === 0) return;
    this.outbox.add(...facts, ...entries);
    this.requestRound();
  }

  /** Closes the period before the current one, also when nothing happened in it. */
  private closePeriods(): void {
    const { ledger, clock, periodLength } = this.options;
    const current = periodBounds(periodName(clock.wallMs(), periodLength));
    const previous = periodName((current?.startMs ?? 0) - 1, periodLength);
    const lastClosed = ledger.state().closedPeriods.at(-1)?.period ?? '';
    if (previous <= lastClosed || this.closingPeriod === previous) return;
    this.closingPeriod = previous;
    this.record([{ type: 'period-closed', period: previous, atMs: clock.wallMs() }], []);
  }

  private async replaceService(jobId: string, spec: JobSpec): Promise<Result<void, Failure>> {
    const replaced = this.placement.replaceService(jobId, spec);
    if (replaced.isErr) return replaced;
    const { ledger, clock } = this.options;
    return ledger.commit([{ type: 'job-respecified', jobId, spec, atMs: clock.wallMs() }]);
  }
}

function notFound(jobId: string): Failure {
  return Failure.create(ErrorKind.notFound, `no job ${jobId}; ended jobs are kept for a day`);
}
