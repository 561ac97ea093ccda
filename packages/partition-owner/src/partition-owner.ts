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
import type { PartitionWorker } from './partition-worker.js';
import { WorkerFleet } from './worker-fleet.js';

type StartDecision = Extract<Decision, { type: 'start' }>;

/** Delay before entries whose append failed are appended again. */
const OUTBOX_RETRY_MS = 250;
/**
 * Time between two planning rounds while nothing changes. Start times and back-offs that have passed take
 * effect within this time.
 */
const IDLE_ROUND_MS = 250;

/**
 * Largest difference between the wall clocks of two owners. An armed task has not been started by any of them
 * until this long before its start time.
 */
const MAX_CLOCK_DIFFERENCE_MS = 60_000;

type KnownWorker = Omit<PartitionWorker, 'resources'> & {
  resources: PartitionWorker['resources'] | null;
};

/**
 * Carries out the jobs of one partition: journals every assignment before its start is sent to a worker,
 * renews the leases of tasks, and records how each task and job ended. One instance serves one fencing
 * token.
 */
export class PartitionOwner {
  static create(options: PartitionOwnerOptions): PartitionOwner {
    return new PartitionOwner(options);
  }

  private readonly placement: Placement;
  private readonly tasks = TaskTable.create();
  private readonly fleet: WorkerFleet;
  private readonly taskStarter: TaskStarter;
  private readonly outbox: Outbox;
  private readonly waiters: JobWaiters;
  private readonly submissions: Submissions;
  private readonly services: ServiceReconciler;
  /** Tasks that were sent a stop and have not ended. */
  private readonly stoppingTaskIds = new Set<string>();
  /** Tasks that this owner has ended and whose end is not durable yet. */
  private readonly unrecordedEndTaskIds = new Set<string>();
  /** Jobs whose cancel request was appended with an unknown result. */
  private readonly unknownCancelJobIds = new Set<string>();
  /**
   * Workers of the platform's list, and workers outside it that still have tasks. The resources are null when this
   * owner has not seen the worker in the list.
   */
  private readonly workers = new Map<string, KnownWorker>();
  private cancelRound: () => void = () => undefined;
  private isStopped = false;
  private nextRoundAtMs = Infinity;
  /** Account period that this owner closed last. Its entry may still wait in the outbox. */
  private lastClosedPeriod = '';

  private constructor(private readonly options: PartitionOwnerOptions) {
    const { clock, ledger } = options;
    this.placement = Placement.create(options.placement);
    this.waiters = JobWaiters.create(clock);
    this.outbox = Outbox.create({
      clock,
      commit: async (entries) => {
        const result = await ledger.commit(entries);
        if (result.isOk)
          for (const { taskId } of selectTaskEnds(entries))
            this.unrecordedEndTaskIds.delete(taskId);
        this.waiters.notifyAll();
        return result;
      },
      retryDelayMs: OUTBOX_RETRY_MS,
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
      callIntervalMs: options.callIntervalMs,
      predecessorRenewalsUntilMs: options.predecessorRenewalsUntilMs,
      findToken: () => (this.isStopped ? undefined : ledger.token()),
      onFenced: (address, report) => {
        this.onFenced(address, report);
      },
      onReport: (address, report) => {
        this.onReport(address, report);
      },
      onSuspect: (address) => {
        options.log('worker-suspect', { worker: address });
        this.placement.setWorkerState(address, 'suspended');
      },
      onExpired: (address) => {
        this.onExpired(address);
      },
    });
    this.taskStarter = TaskStarter.create({
      clock,
      ledger,
      fleet: this.fleet,
      tasks: this.tasks,
      taskLeaseMs: options.taskLeaseMs,
      startDeadlineMs: options.startDeadlineMs,
      retryDelayMs: options.roundDelayMs,
      isStopped: () => this.isStopped,
      hasEnded: (taskId, jobId) => this.unrecordedEndTaskIds.has(taskId) || this.isStopping(jobId),
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

  /** Loads the jobs of the journal and starts planning rounds. Call `setWorkers` first. */
  start(): void {
    const { ledger, clock } = this.options;
    for (const job of ledger.state().jobs.values()) {
      for (const task of job.tasks.values()) {
        if (task.state !== 'ended') this.addUnlistedWorker(task.worker);
      }
    }
    const jobEnds = restoreJobs(ledger.state(), this.placement, this.tasks, clock);
    this.record([], jobEnds);
    this.scheduleRound(this.options.roundDelayMs);
  }

  /** Stops all calls and rounds at once. Tasks continue at their workers until their leases expire. */
  stop(): void {
    this.isStopped = true;
    this.cancelRound();
    this.fleet.stop();
    this.outbox.stop();
    this.waiters.notifyAll();
  }

  /** Appends the entries that wait in the outbox, before a planned stop. */
  async flush(): Promise<void> {
    await this.outbox.flush();
  }

  /**
   * Sets the workers of the partition. A worker that is no longer listed keeps its tasks until their
   * leases expire.
   */
  setWorkers(workers: readonly PartitionWorker[]): void {
    const nowMs = this.options.clock.monotonicMs();
    const listedAddresses = new Set(workers.map((worker) => worker.address));
    for (const worker of workers) {
      const previousWorker = this.workers.get(worker.address);
      this.workers.set(worker.address, worker);
      if (previousWorker === undefined || previousWorker.resources === null)
        this.placement.addWorker(worker, nowMs);
      if (previousWorker === undefined) this.placement.setWorkerState(worker.address, 'suspended');
      this.fleet.add(worker.address);
      if (worker.leaving && previousWorker?.leaving !== true)
        this.placement.setWorkerState(worker.address, 'leaving');
    }
    for (const address of [...this.workers.keys()]) {
      if (!listedAddresses.has(address)) this.removeIfEmpty(address);
    }
  }

  /** Sets the quotas of the teams. */
  setTeams(teams: readonly TeamQuota[]): void {
    this.placement.setTeams(teams);
  }

  /** Sets the services that must run in the partition; jobs of other services are cancelled. */
  setServices(services: readonly ServiceJob[]): void {
    this.services.set(services);
  }

  /**
   * Accepts a job durably. While the partition has no workers, the job and every repetition of its key
   * are delegated to the partition `fallback`; without a fallback the job is refused as not run. A job
   * that no worker could ever run fails with `never-runnable`, and its refusal is recorded.
   */
  async submit(spec: JobSpec, fallback?: PartitionId): Promise<Result<SubmissionReply, Failure>> {
    const accepted = await this.submissions.accept(spec, this.selectSubmissionRule(fallback));
    if (accepted.isErr) return Result.err(accepted.error);
    if (accepted.value.kind === 'delegated') {
      const { partition } = accepted.value;
      this.options.log('job-delegated', { key: spec.key ?? '', to: partition });
      return Result.ok({ delegatedTo: partition });
    }
    const { jobId, isNew } = accepted.value;
    if (!isNew) return Result.ok({ jobId });
    return this.placeJob(jobId, spec);
  }

  /** Records a cancel request and stops the job. Repeated calls have no effect. */
  async cancel(jobId: string): Promise<Result<JobStatus, Failure>> {
    const { ledger, clock } = this.options;
    const job = ledger.state().jobs.get(jobId);
    if (job === undefined) return Result.err(createNotFoundFailure(jobId));
    if (job.outcome === null && job.cancelAtMs === null) {
      const result = await ledger.commit([
        { type: 'cancel-requested', jobId, atMs: clock.wallMs() },
      ]);
      if (result.isErr) {
        if (result.error.kind === ErrorKind.appendUnknown) this.unknownCancelJobIds.add(jobId);
        return Result.err(result.error);
      }
      const cancelled = this.placement.cancel(jobId, clock.monotonicMs());
      this.requestRound();
      if (cancelled.isOk && cancelled.value !== null) this.record([], [cancelled.value]);
      await this.outbox.flush();
    }
    return this.readStatus(jobId);
  }

  /** Returns the status of a job. Its reason says why the job waits, was refused or was placed. */
  readStatus(jobId: string): Result<JobStatus, Failure> {
    const job = this.options.ledger.state().jobs.get(jobId);
    if (job === undefined) return Result.err(createNotFoundFailure(jobId));
    return Result.ok(describeJob(job, this.placement.why(jobId, this.options.clock.monotonicMs())));
  }

  /**
   * Waits at most `waitMs` until the state of the job differs from `knownState` or the job has an outcome.
   * Returns the status at that time.
   */
  async waitForStatus(
    jobId: string,
    knownState: string,
    waitMs: number,
  ): Promise<Result<JobStatus, Failure>> {
    const { clock } = this.options;
    const deadlineAtMs = clock.monotonicMs() + waitMs;
    for (;;) {
      const status = this.readStatus(jobId);
      const remainingMs = deadlineAtMs - clock.monotonicMs();
      if (status.isErr || this.isStopped || remainingMs <= 0) return status;
      if (status.value.state !== knownState || status.value.outcome !== undefined) return status;
      await this.waiters.wait(jobId, remainingMs);
    }
  }

  /**
   * Journals facts that already happened, in order; they wait in the outbox while the log is unavailable.
   */
  recordFacts(facts: readonly JournalEntry[]): void {
    this.record(facts, []);
  }

  /**
   * Journals counts of repeatable requests. Replay ignores a sequence number that it has already counted.
   */
  countRequests(
    entry: Extract<JournalEntry, { type: 'requests-counted' }>,
  ): Promise<Result<void, Failure>> {
    return this.options.ledger.commit([entry]);
  }

  /**
   * Returns the number of waiting jobs. Without workers it is `NO_WORKERS_BACKLOG_JOBS`, so that no job is
   * routed to the partition.
   */
  computeBacklogJobs(): number {
    if (!this.hasWorkers()) return NO_WORKERS_BACKLOG_JOBS;
    const { waiting } = this.placement.describe();
    return waiting.urgent + waiting.service + waiting.gang + waiting.batch;
  }

  private selectSubmissionRule(fallback: PartitionId | undefined): SubmissionRule {
    if (this.hasWorkers()) return { kind: 'accept' };
    if (fallback !== undefined) return { kind: 'delegate', partition: fallback };
    const message = `partition ${this.options.partition} has no workers, and no partition with workers is known`;
    return { kind: 'refuse', message };
  }

  /**
   * Accepts a declared service, even while the partition has no workers: it must run in this partition.
   */
  private async submitService(spec: JobSpec): Promise<Result<{ jobId: string }, Failure>> {
    const accepted = await this.submissions.accept(spec, { kind: 'accept' });
    return accepted.andThen((submission): Result<{ jobId: string }, Failure> =>
      submission.kind === 'accepted'
        ? this.placeJob(submission.jobId, spec)
        : Result.err(
            Failure.create(
              ErrorKind.internal,
              `service "${spec.family}" was delegated although its job has no key`,
            ),
          ),
    );
  }

  /** True when the job was cancelled, has failed or has ended, even if the journal does not contain that yet. */
  private isStopping(jobId: string): boolean {
    const state = this.placement.jobState(jobId);
    return state === 'stopping' || state === 'ended';
  }

  /** True when the partition has a worker that accepts new tasks: it was listed and is not leaving. */
  private hasWorkers(): boolean {
    return [...this.workers.values()].some(
      ({ resources, leaving }) => resources !== null && !leaving,
    );
  }

  describe(): Record<string, unknown> {
    return {
      placement: this.placement.describe(),
      tasksAtWorkers: this.tasks.size,
      outbox: this.outbox.size,
      workers: this.fleet.describe(),
    };
  }

  /** Submits an accepted job to the placement core. A job that can never run is recorded as refused. */
  private placeJob(jobId: string, spec: JobSpec): Result<{ jobId: string }, Failure> {
    const { clock, log } = this.options;
    log('job-accepted', { job: jobId, kind: spec.kind, team: spec.team });
    const placed = this.placement.submit(jobId, spec, clock.monotonicMs(), clock.wallMs());
    this.requestRound();
    if (placed.isOk) return Result.ok({ jobId });
    const { kind, message, details } = placed.error;
    this.record([], [{ jobId, outcome: 'refused', reason: message }]);
    return Result.err(Failure.create(kind, message, { ...details, jobId }));
  }

  /**
   * Carries out jobs and cancel requests whose append had an unknown result and that the journal now
   * contains.
   */
  private settleUnknownAppends(): void {
    const { ledger, clock } = this.options;
    const { jobs } = ledger.state();
    for (const jobId of this.submissions.takeConfirmedJobIds()) {
      const job = jobs.get(jobId);
      if (job?.outcome === null) this.placeJob(jobId, job.spec);
    }
    for (const jobId of [...this.unknownCancelJobIds]) {
      if (jobs.get(jobId)?.cancelAtMs === null) continue;
      this.unknownCancelJobIds.delete(jobId);
      const cancelled = this.placement.cancel(jobId, clock.monotonicMs());
      if (cancelled.isOk && cancelled.value !== null) this.record([], [cancelled.value]);
    }
  }

  private scheduleRound(delayMs: number): void {
    this.cancelRound();
    this.nextRoundAtMs = this.options.clock.monotonicMs() + delayMs;
    this.cancelRound = this.options.clock.after(delayMs, () => {
      if (this.isStopped) return;
      this.nextRoundAtMs = Infinity;
      this.runRound();
      if (this.placement.hasMore()) this.scheduleRound(0);
      else if (this.nextRoundAtMs === Infinity) this.scheduleRound(IDLE_ROUND_MS);
    });
  }

  /** Requests a planning round after a change. Changes within the delay of a round share it. */
  private requestRound(): void {
    const { clock, roundDelayMs } = this.options;
    if (this.isStopped || this.nextRoundAtMs <= clock.monotonicMs() + roundDelayMs) return;
    this.scheduleRound(roundDelayMs);
  }

  private runRound(): void {
    const { ledger, clock } = this.options;
    const authority = ledger.authority();
    if (authority === 'holding') this.taskStarter.startDueArmedTasks();
    if (authority !== 'leased') return;
    this.settleUnknownAppends();
    this.closePeriods();
    const decisions = this.placement.decide(clock.monotonicMs(), clock.wallMs());
    if (decisions.length > 0) this.carryOut(decisions);
  }

  private carryOut(decisions: readonly Decision[]): void {
    const starts: StartDecision[] = [];
    const facts: JournalEntry[] = [];
    const jobEnds: JobEnd[] = [];
    const atMs = this.options.clock.wallMs();
    for (const decision of decisions) {
      const { jobId, reason } = decision;
      if (decision.type === 'start') starts.push(decision);
      else if (decision.type === 'arm') {
        const { taskId, group, worker } = decision;
        const workerIncarnation = this.fleet.find(worker)?.incarnation ?? '';
        facts.push({ type: 'task-armed', jobId, taskId, group, worker, workerIncarnation, atMs });
      } else if (decision.type === 'refuse') jobEnds.push({ jobId, outcome: 'refused', reason });
      else this.sendAction(decision);
    }
    this.record(facts, jobEnds);
    if (starts.length > 0) void this.taskStarter.startTasks(starts);
  }

  private sendAction(
    decision: Extract<Decision, { type: 'checkpoint' | 'throttle' | 'stop' }>,
  ): void {
    const { taskId, worker, type } = decision;
    this.options.log(`task-${type}`, { task: taskId, worker, reason: decision.reason });
    if (type === 'stop') this.stoppingTaskIds.add(taskId);
    void this.fleet.find(worker)?.sendActions([{ taskId, action: type }]);
  }

  /** Records as refused a task that certainly did not start. */
  private refuseStart(taskId: string): void {
    const task = this.tasks.remove(taskId);
    if (task !== undefined) this.fleet.find(task.worker)?.removeTask(taskId);
    const jobEnd = this.placement.taskRefused(taskId, this.options.clock.monotonicMs());
    const atMs = this.options.clock.wallMs();
    this.record(
      [{ type: 'task-ended', taskId, outcome: 'refused', atMs }],
      jobEnd === null ? [] : [jobEnd],
    );
  }

  private confirmStart(taskId: string): void {
    const task = this.tasks.find(taskId);
    if (task === undefined) return;
    // Called for a running task too: placement may just have decided the start of a task that a predecessor
    // had already started.
    this.placement.taskStarted(taskId);
    if (task.state === 'running') return;
    task.state = 'running';
    this.record([{ type: 'task-started', taskId, atMs: this.options.clock.wallMs() }], []);
  }

  private endTask(taskId: string, outcome: TaskOutcome, progressMs: number): void {
    const task = this.tasks.remove(taskId);
    if (task === undefined) return;
    this.stoppingTaskIds.delete(taskId);
    this.fleet.find(task.worker)?.removeTask(taskId);
    const { clock } = this.options;
    const jobEnd = this.placement.taskEnded(
      taskId,
      outcome,
      clock.monotonicMs(),
      clock.wallMs(),
      progressMs,
    );
    this.record(
      [{ type: 'task-ended', taskId, outcome, atMs: clock.wallMs() }],
      jobEnd === null ? [] : [jobEnd],
    );
  }

  /**
   * Settles the tasks of a worker that answered a fence call. The report is current: a task that it does
   * not list is not at the worker.
   */
  private onFenced(address: string, report: WorkerReport): void {
    const { clock } = this.options;
    const session = this.fleet.find(address);
    const reportedIds = new Set(report.tasks.map((task) => task.taskId));
    for (const task of this.tasks.listByWorker(address)) {
      const hasRestarted =
        task.workerIncarnation !== null &&
        task.workerIncarnation !== '' &&
        task.workerIncarnation !== report.incarnation;
      if (reportedIds.has(task.taskId)) session?.addTask(task.taskId);
      else if (hasRestarted && this.isArmedAhead(task.taskId)) this.refuseStart(task.taskId);
      else if (task.state === 'running') this.endTask(task.taskId, 'lapsed', 0);
      else if (clock.monotonicMs() > task.startableUntilMs) {
        this.settleUnlistedStart(task.taskId, report.incarnation);
      }
    }
    for (const task of report.tasks) {
      const isUnassigned = task.state === 'running' && this.tasks.find(task.taskId) === undefined;
      if (isUnassigned) void session?.sendActions([{ taskId: task.taskId, action: 'stop' }]);
    }
    this.onReport(address, report);
    const isLeaving = this.workers.get(address)?.leaving === true;
    this.placement.setWorkerState(address, isLeaving ? 'leaving' : 'active');
    this.requestRound();
  }

  /**
   * Settles a start whose task the worker does not list. The worker refuses the start if it still arrives,
   * because its deadline has passed or it carries the token of a predecessor.
   */
  private settleUnlistedStart(taskId: string, incarnation: string): void {
    if (this.isArmedFor(taskId, 0)) return;
    const sentTo = this.tasks.find(taskId)?.workerIncarnation;
    // Another incarnation of the worker does not know which tasks the assigned incarnation started.
    if (sentTo === null || sentTo === incarnation) this.refuseStart(taskId);
    else this.endTask(taskId, 'lapsed', 0);
  }

  /** True when the task is armed and no owner has started it, by the wall clocks of all of them. */
  private isArmedAhead(taskId: string): boolean {
    return this.isArmedFor(taskId, MAX_CLOCK_DIFFERENCE_MS);
  }

  /** True when the task is armed and its start time is more than `aheadMs` ahead. */
  private isArmedFor(taskId: string, aheadMs: number): boolean {
    const armed = this.options.ledger.state().armed.get(taskId);
    return armed !== undefined && (armed.startAtMs ?? 0) > this.options.clock.wallMs() + aheadMs;
  }

  private onReport(address: string, report: WorkerReport): void {
    const { clock } = this.options;
    for (const task of report.tasks) {
      if (task.state === 'running') this.confirmStart(task.taskId);
      else this.endTask(task.taskId, task.outcome ?? 'failed', task.progressMs);
    }
    const jobEnds = this.placement.usageReported(
      address,
      report,
      clock.monotonicMs(),
      clock.wallMs(),
    );
    this.record([], jobEnds);
    const repeatedStops = this.tasks
      .listByWorker(address)
      .filter((task) => this.stoppingTaskIds.has(task.taskId));
    if (repeatedStops.length === 0) return;
    void this.fleet
      .find(address)
      ?.sendActions(repeatedStops.map(({ taskId }) => ({ taskId, action: 'stop' })));
  }

  private onExpired(address: string): void {
    this.options.log('worker-leases-expired', {
      worker: address,
      tasks: this.tasks.listByWorker(address).length,
    });
    for (const { taskId, workerIncarnation } of this.tasks.listByWorker(address)) {
      if (workerIncarnation === null || this.isArmedAhead(taskId)) this.refuseStart(taskId);
      else this.endTask(taskId, 'lapsed', 0);
    }
    this.removeIfEmpty(address);
  }

  /**
   * Stops placing tasks on a worker, and removes it when it has no tasks. The next `setWorkers` adds a
   * removed worker again if it is still listed.
   */
  private removeIfEmpty(address: string): void {
    this.placement.setWorkerState(address, 'suspended');
    if (this.tasks.listByWorker(address).length > 0) return;
    const atMs = this.options.clock.wallMs();
    // Without their end in the journal, the armed tasks would start here too when the worker returns.
    const facts = this.placement
      .listArmedTaskIds(address)
      .map((taskId): JournalEntry => ({ type: 'task-ended', taskId, outcome: 'refused', atMs }));
    this.record(facts, this.placement.removeWorker(address, this.options.clock.monotonicMs()));
    this.workers.delete(address);
    this.fleet.remove(address);
  }

  /**
   * Adds a worker that has tasks in the journal but is not in the platform's list: it may still run them.
   */
  private addUnlistedWorker(address: string): void {
    if (this.workers.has(address)) return;
    const worker = {
      address,
      rack: '',
      dataCentre: '',
      region: '',
      resources: null,
      leaving: false,
    };
    this.workers.set(address, worker);
    this.placement.addWorker(worker, this.options.clock.monotonicMs());
    this.placement.setWorkerState(address, 'suspended');
    this.fleet.add(address);
  }

  /**
   * Records task facts together with the job ends that follow from them, so that no record has only one
   * of the two.
   */
  private record(facts: readonly JournalEntry[], jobEnds: readonly JobEnd[]): void {
    const atMs = this.options.clock.wallMs();
    const entries = jobEnds.map(({ jobId, outcome, reason }): JournalEntry => {
      this.options.log('job-ended', { job: jobId, outcome, reason });
      return { type: 'job-ended', jobId, outcome, reason, atMs };
    });
    if (facts.length + entries.length === 0) return;
    for (const { taskId } of selectTaskEnds(facts)) this.unrecordedEndTaskIds.add(taskId);
    this.outbox.add(...facts, ...entries);
    this.requestRound();
  }

  /** Records the end of the account period before the current one, even when it has no usage. */
  private closePeriods(): void {
    const { ledger, clock, periodLength } = this.options;
    const currentBounds = periodBounds(periodName(clock.wallMs(), periodLength));
    const previousPeriod = periodName((currentBounds?.startMs ?? 0) - 1, periodLength);
    const lastJournalledPeriod = ledger.state().closedPeriods.at(-1)?.period ?? '';
    if (previousPeriod <= lastJournalledPeriod || this.lastClosedPeriod === previousPeriod) return;
    this.lastClosedPeriod = previousPeriod;
    this.record([{ type: 'period-closed', period: previousPeriod, atMs: clock.wallMs() }], []);
  }

  private async replaceService(jobId: string, spec: JobSpec): Promise<Result<void, Failure>> {
    const replaced = this.placement.replaceService(jobId, spec);
    if (replaced.isErr) return replaced;
    const { ledger, clock } = this.options;
    return ledger.commit([{ type: 'job-respecified', jobId, spec, atMs: clock.wallMs() }]);
  }
}

function selectTaskEnds(entries: readonly JournalEntry[]) {
  return entries.filter((entry) => entry.type === 'task-ended');
}

function createNotFoundFailure(jobId: string): Failure {
  return Failure.create(
    ErrorKind.notFound,
    `no job ${jobId}; ended jobs are kept for at most a day`,
  );
}
