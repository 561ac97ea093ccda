import Result from 'true-myth/result';
import type Unit from 'true-myth/unit';
import type { Clock } from '@acaciahoist/clock';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import type { CellJob } from '@acaciahoist/cell-types';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { CellJobState } from '@acaciahoist/cell-types/cell-job-state';
import type { Team } from '@acaciahoist/cell-types/team';
import type { CellState } from '@acaciahoist/cell-state';
import type { EventLog } from '@acaciahoist/types/event-log';
import { chooseRetryAfterS } from './choose-retry-after.js';
import type { ReportedCount } from './reported-count.js';
import { JobAdmission } from './job-admission.js';
import { OpenWork } from './open-work.js';
import { RateLimit } from './rate-limit.js';
import { PendingCounts } from './pending-counts.js';
import { previewSubmission } from './preview-submission.js';
import { RecentMap } from './recent-map.js';
import type { Refusal } from './refusal.js';
import type { RemoteJobState } from './remote-job-state.js';
import { SharedCall } from './shared-call.js';
import type { TeamLimit } from './team-limit.js';
import type { SubmissionPreview } from './submission-preview.js';
import { TeamRefusalLog } from './team-refusal-log.js';
import { storeRecord } from './store-record.js';

interface Options {
  clock: Clock;
  log: EventLog;
  /** Increases the counter of this name in the metrics. */
  count: (name: string, by?: number) => void;
  /** The replica of this process; undefined while it holds none. */
  state: () => CellState | undefined;
  /** Upper bound of the age in ms of the replica. */
  replicaAgeMs: () => number;
  /** Time in ms since another process with a current replica last answered. */
  contactAgeMs: () => number;
  /** Duration in ms of the current outage of the store; 0 while the store is available. */
  storeOutageMs: () => number;
  /** Whether the cell is known to have more processes than hold replicas; false when absent. */
  isLargeCell?: () => boolean;
  /**
   * Time in ms that an append of the owner takes; undefined when the store does not answer it, when it is not known,
   * and when absent.
   */
  ownerAppendTimeMs?: () => number | undefined;
  /**
   * Waits until the replica has every record that is in the log now; false when that cannot be
   * ensured.
   */
  sync: (timeoutMs: number) => Promise<boolean>;
  /** Appends to the store from this process. */
  appendDirectly: (record: CellRecord) => Promise<'appended' | 'refused' | 'unknown'>;
  /** Appends through the owner. `refused` only when the record was certainly not appended. */
  appendThroughOwner: (record: CellRecord) => Promise<'appended' | 'refused' | 'unknown'>;
  /** Appends through a process that is not the owner. */
  appendThroughStandby: (record: CellRecord) => Promise<'appended' | 'refused' | 'unknown'>;
  /**
   * Queries other processes for the state of a job; undefined when none with a current replica
   * answers.
   */
  queryJobState: (id: string) => Promise<RemoteJobState | undefined>;
  /** Pending count of a queue as another process reported it; undefined when none did. */
  findReportedCount: (queue: string) => ReportedCount | undefined;
  /** Memory in bytes of the open jobs as another process reported it; undefined when none did. */
  findReportedBytes: () => number | undefined;
  /** Teams of the configuration in force; none when absent. */
  teams?: () => readonly Team[];
  /** Limit on the new jobs of a team; undefined when there is none or no current information. */
  findTeamLimit?: (team: string) => TeamLimit | undefined;
  /**
   * Queries other processes for their pending counts; resolves when they have answered or timed
   * out.
   */
  queryCounts: () => Promise<void>;
  /** Time in ms for which accepted and ended jobs are remembered. */
  retentionMs: number;
}

/**
 * Outage of the store in ms after which requests are refused at once. A slow store answers within
 * 400 ms.
 */
const STORE_OUTAGE_MS = 600;
/**
 * During an outage of the store, a process counts as isolated after this time in ms without contact
 * with another one.
 */
const CONTACT_TIMEOUT_MS = 900;
/**
 * When the replica is older than this in ms, other processes are queried, because it may show an
 * ended job as running.
 */
const MAX_REPLICA_AGE_MS = 900;
/**
 * Bounds in ms of the delay before the next route is tried in addition. A record is stored within
 * 20 ms, or within 500 ms when the store is slow.
 */
const MIN_HEDGE_DELAY_MS = 250;
const MAX_HEDGE_DELAY_MS = 900;
/** An append of the owner that takes longer in ms shows that the store is slow; it takes 5 to 20 ms otherwise. */
const SLOW_APPEND_MS = 150;
/** Time in ms after which no further route is tried for a record: clients wait for 3 s. */
const MAX_ROUTE_DELAY_MS = 2_000;
/** Delay in ms of the next route while the owner appends to a slow store: none is tried. */
const SLOW_STORE_HEDGE_DELAY_MS = MAX_ROUTE_DELAY_MS + 1;
/** Delay before the next route, as a multiple of the time that the newest record took. */
const HEDGE_DELAY_FACTOR = 2;
/** Maximum time in ms for which a response waits for the replica to catch up. */
const SYNC_TIMEOUT_MS = 1_000;
/**
 * Maximum number of jobs that are remembered as accepted or ended; for any further job another
 * process is queried.
 */
const MAX_REMEMBERED_JOBS = 10_000;
/**
 * Time in ms after its acceptance for which a job counts as queued without a query to another
 * process.
 */
const RECENTLY_ACCEPTED_MS = 150;
/**
 * Rate and burst of cancels of unknown jobs that a process appends: each takes a record of the log, and anyone can send
 * them. The clients of a data centre that give up at the same time stay within the burst.
 */
const UNKNOWN_CANCELS_PER_S = 10;
const UNKNOWN_CANCELS_BURST = 100;
const ENDED_STATES: ReadonlySet<CellJobState> = new Set(['completed', 'failed', 'cancelled']);

/**
 * Accepts, reports and cancels jobs on behalf of clients. A job is accepted once it is in the log.
 */
export class CellFront {
  static create(options: Options): CellFront {
    return new CellFront(options);
  }

  /** Outstanding submissions by job, so that a repeated one waits for the first. */
  private readonly outstandingSubmissions = new Map<string, Promise<Result<Unit, Failure>>>();
  /**
   * Jobs that were accepted here and are not in the replica yet, or for which there is no replica.
   */
  private readonly acceptedJobs: RecentMap<true>;
  /** States of ended jobs that other processes reported. */
  private readonly endedJobStates: RecentMap<CellJobState>;
  private readonly pendingCounts: PendingCounts;
  private readonly openWork: OpenWork;
  private readonly admission: JobAdmission;
  private readonly unknownCancels: RateLimit;
  private readonly sharedSync: SharedCall<boolean>;

  /** Time in ms that the newest record took to be stored. */
  private lastStoreDurationMs = 0;

  private constructor(private readonly options: Options) {
    const { clock, retentionMs } = options;
    const mapOptions = { clock, maxAgeMs: retentionMs, maxSize: MAX_REMEMBERED_JOBS };
    this.acceptedJobs = RecentMap.create(mapOptions);
    this.endedJobStates = RecentMap.create(mapOptions);
    this.unknownCancels = RateLimit.create({
      clock,
      perSecond: UNKNOWN_CANCELS_PER_S,
      burst: UNKNOWN_CANCELS_BURST,
    });
    this.pendingCounts = PendingCounts.create(options);
    this.openWork = OpenWork.create({
      clock,
      state: options.state,
      reportedBytes: options.findReportedBytes,
    });
    const refusalLog = TeamRefusalLog.create(options);
    this.admission = JobAdmission.create({
      clock,
      openWork: this.openWork,
      teams: options.teams ?? (() => []),
      findTeamLimit: options.findTeamLimit ?? (() => undefined),
      onBeyondRate: (team, limit) => {
        refusalLog.add(team, limit);
      },
    });
    this.sharedSync = SharedCall.create(() => options.sync(SYNC_TIMEOUT_MS));
  }

  /**
   * Accepts a job. Fails with `log-unavailable`, or with `overloaded` when the cell has no room for it, or with
   * `quota-exceeded` when its team may not submit it: the job is not accepted and never runs, and with `append-unknown` when that cannot be determined within
   * `timeoutMs`.
   */
  submit(job: CellJob, timeoutMs: number): Promise<Result<Unit, Failure>> {
    if (this.hasJob(job.id)) return Promise.resolve(Result.ok());
    const outstanding = this.outstandingSubmissions.get(job.id);
    if (outstanding !== undefined) return this.limitSubmission(job, outstanding, timeoutMs);
    const refusal = this.admission.findRefusal(job);
    if (refusal !== undefined) return this.refuseJob(job.id, refusal);
    return this.limitSubmission(job, this.appendJob(job), timeoutMs);
  }

  /** Tells how a submission of the job would be answered now. Counts and records nothing. */
  previewSubmission(job: CellJob): SubmissionPreview {
    return previewSubmission({
      id: job.id,
      isKnown: this.hasJob(job.id) || this.outstandingSubmissions.has(job.id),
      isCancelled: this.options.state()?.cancelledIds.has(job.id) === true,
      refusal: this.admission.previewRefusal(job),
      isCutOff: this.isCutOff(),
      storeOutageMs: this.options.storeOutageMs(),
    });
  }

  private limitSubmission(
    job: CellJob,
    submission: Promise<Result<Unit, Failure>>,
    timeoutMs: number,
  ): Promise<Result<Unit, Failure>> {
    return this.limitDuration(submission, timeoutMs, `job ${job.id} is not yet known to be stored`);
  }

  /**
   * Answers a submission whose client may have given up, and executes nothing: the client may have cancelled the job
   * since then, or have submitted it to another process. Succeeds for a job that was accepted before.
   */
  answerGivenUp(id: string): Promise<Result<Unit, Failure>> {
    const failure = this.createUnavailableFailure(
      `job ${id} was not accepted: its client may have given up`,
    );
    return this.refuseJob(id, { reason: 'given-up', failure });
  }

  /**
   * Returns the state of a job. Fails with `unknown-job`, or with `log-unavailable` when the state
   * cannot be determined.
   */
  async jobStateOf(id: string): Promise<Result<CellJobState, Failure>> {
    const state = this.options.state();
    if (state === undefined) return this.jobStateWithoutReplica(id);
    const knownState = state.jobStateOf(id) ?? this.findAcceptedJobState(id);
    const mayHaveEnded = knownState === undefined || !ENDED_STATES.has(knownState);
    if (mayHaveEnded && this.options.replicaAgeMs() > MAX_REPLICA_AGE_MS) {
      const remoteState = await this.options.queryJobState(id);
      if (remoteState?.kind === 'known')
        return Result.ok(chooseLater(knownState, remoteState.state));
    }
    if (knownState !== undefined) return Result.ok(knownState);
    const isCurrent = await this.sharedSync.run();
    const syncedState = this.options.state();
    if (syncedState === undefined) return this.jobStateWithoutReplica(id);
    const syncedJobState = syncedState.jobStateOf(id) ?? this.findAcceptedJobState(id);
    if (syncedJobState !== undefined) return Result.ok(syncedJobState);
    return Result.err(
      isCurrent
        ? this.createUnknownJobFailure(id, 'replica')
        : this.createUnavailableFailure(`the state of job ${id} cannot be determined at present`),
    );
  }

  /** Returns the state of a job when this process has no replica. */
  private async jobStateWithoutReplica(id: string): Promise<Result<CellJobState, Failure>> {
    const endedState = this.endedJobStates.get(id);
    if (endedState !== undefined) return Result.ok(endedState);
    if (this.acceptedJobs.ageMs(id) < RECENTLY_ACCEPTED_MS) return Result.ok('queued');
    const remoteState = await this.options.queryJobState(id);
    if (remoteState?.kind === 'known') {
      if (ENDED_STATES.has(remoteState.state)) this.endedJobStates.set(id, remoteState.state);
      return Result.ok(remoteState.state);
    }
    const acceptedState = this.findAcceptedJobState(id);
    if (acceptedState !== undefined) return Result.ok(acceptedState);
    return Result.err(
      remoteState === undefined
        ? this.createUnavailableFailure(`the state of job ${id} cannot be determined at present`)
        : this.createUnknownJobFailure(id, 'heard'),
    );
  }

  /**
   * Cancels a job; a job that has ended stays as it is. Fails like `jobStateOf` and `submit`. The failure that the job
   * is unknown also promises that no later submission of its id starts anything.
   */
  async cancel(id: string, timeoutMs: number): Promise<Result<Unit, Failure>> {
    const jobState = await this.jobStateOf(id);
    if (jobState.isOk)
      return ENDED_STATES.has(jobState.value) ? Result.ok() : this.appendCancel(id, timeoutMs);
    if (jobState.error.kind !== ErrorKind.unknownJob) return Result.err(jobState.error);
    // A submission of the job may still be on its way.
    if (this.options.state()?.cancelledIds.has(id) === true) return Result.err(jobState.error);
    if (!this.unknownCancels.take())
      return Result.err(
        Failure.create(ErrorKind.overloaded, `too many cancels of unknown jobs, among them ${id}`),
      );
    const stored = await this.appendCancel(id, timeoutMs);
    return stored.isErr ? stored : Result.err(jobState.error);
  }

  private async appendCancel(id: string, timeoutMs: number): Promise<Result<Unit, Failure>> {
    const cancellation = this.store({ kind: 'cancel', id }).then((result) => {
      if (result === 'appended') return Result.ok();
      return Result.err(
        result === 'refused'
          ? this.createUnavailableFailure(`the cancellation of job ${id} was not stored`)
          : Failure.create(
              ErrorKind.appendUnknown,
              `the cancellation of job ${id} may or may not be stored`,
            ),
      );
    });
    const result = await this.limitDuration(
      cancellation,
      timeoutMs,
      `the cancellation of job ${id} is not yet known to be stored`,
    );
    this.options.log('info', 'cancel-answered', { job: id, stored: result.isOk });
    return result;
  }

  /** Returns the pending count of a queue; undefined when no current count is known. */
  pendingOf(queue: string): Promise<number | undefined> {
    return this.pendingCounts.findCount(queue);
  }

  /** Refuses a job unless it was accepted before, also by another process. */
  private async refuseJob(
    id: string,
    refusal: Refusal | Refusal<'given-up'>,
  ): Promise<Result<Unit, Failure>> {
    const known = await this.jobStateOf(id);
    if (known.isOk) return Result.ok();
    if (known.error.kind !== ErrorKind.unknownJob) return Result.err(known.error);
    this.reportNotAccepted(id, refusal.reason);
    return Result.err(refusal.failure);
  }

  /** Lists the teams whose jobs were submitted here in the last two seconds, and their jobs per second. */
  listArrivals(): ReturnType<JobAdmission['listArrivals']> {
    return this.admission.listArrivals();
  }

  /** Must be called for every job record that the replica applied. */
  observeJob(id: string): void {
    this.openWork.remove(id);
    this.acceptedJobs.delete(id);
  }

  /**
   * Appends a record by the first route that succeeds. The route through the owner comes first: it
   * appends records of many processes in one call, and a store that is slow or overloaded executes
   * few appends.
   */
  private async store(record: CellRecord): Promise<'appended' | 'refused' | 'unknown'> {
    // The refusal is certain because nothing is sent, so that the client may try another process at
    // once.
    if (this.isCutOff()) return 'refused';
    const { clock } = this.options;
    const sentAtMs = clock.monotonicMs();
    const outcome = await storeRecord({
      clock,
      routes: this.listRoutes(record),
      lastRouteAtMs: sentAtMs + MAX_ROUTE_DELAY_MS,
    });
    if (outcome === 'appended') this.lastStoreDurationMs = clock.monotonicMs() - sentAtMs;
    return outcome;
  }

  /**
   * Lists the routes by which a record can be appended. Load pattern: a slow store and dozens of processes. A
   * partition of the store executes its appends one at a time, so that the owner and the other processes wait behind
   * each other when all of them append, and each further copy of a record takes its time as well. A process of a
   * large cell therefore tries other routes late, and appends by itself last, while it has contact with one that holds a
   * replica. An owner that the store turns away is replaced within that time. While the owner reports that its appends
   * succeed but slowly, no process tries another route early.
   */
  private listRoutes(record: CellRecord): Parameters<typeof storeRecord>[0]['routes'] {
    const { appendDirectly, appendThroughOwner, appendThroughStandby } = this.options;
    const hedgeDelayMs = Math.min(
      MAX_HEDGE_DELAY_MS,
      Math.max(MIN_HEDGE_DELAY_MS, HEDGE_DELAY_FACTOR * this.lastStoreDurationMs),
    );
    const throughOwner = {
      append: () => appendThroughOwner(record),
      hedgeDelayMs: () => this.extendHedgeDelay(hedgeDelayMs),
    };
    const directly = { append: () => appendDirectly(record), hedgeDelayMs: () => hedgeDelayMs };
    const throughStandby = {
      append: () => appendThroughStandby(record),
      hedgeDelayMs: () => hedgeDelayMs,
    };
    if (this.isStoreUnavailable()) return [throughOwner, throughStandby];
    // A refusal of the owner means that more records wait than a slow store takes; other routes would add to them.
    if (this.isOwnerSlow()) return [throughOwner];
    const hasContact = this.options.contactAgeMs() <= CONTACT_TIMEOUT_MS;
    if (hasContact && (this.options.state() === undefined || this.options.isLargeCell?.() === true))
      return [
        { ...throughOwner, hedgeDelayMs: () => this.extendHedgeDelay(MAX_HEDGE_DELAY_MS) },
        { ...throughStandby, hedgeDelayMs: () => MAX_HEDGE_DELAY_MS },
        { ...directly, hedgeDelayMs: () => MAX_HEDGE_DELAY_MS },
      ];
    return [throughOwner, directly, throughStandby];
  }

  /** Returns the delay of the route after the owner, which is longer while the owner appends to a slow store. */
  private extendHedgeDelay(hedgeDelayMs: number): number {
    return this.isOwnerSlow() ? SLOW_STORE_HEDGE_DELAY_MS : hedgeDelayMs;
  }

  private isOwnerSlow(): boolean {
    return (this.options.ownerAppendTimeMs?.() ?? 0) > SLOW_APPEND_MS;
  }

  private appendJob(job: CellJob): Promise<Result<Unit, Failure>> {
    this.openWork.add(job);
    const submission = this.store({ kind: 'job', job }).then((result) => {
      this.outstandingSubmissions.delete(job.id);
      if (result === 'appended') {
        if (!this.hasJob(job.id)) this.acceptedJobs.set(job.id, true);
        this.options.log('info', 'job-accepted', {
          job: job.id,
          queue: job.queue.name,
          steps: job.steps.length,
        });
        this.options.count('jobs_accepted_total');
        return Result.ok();
      }
      if (result === 'refused') this.openWork.remove(job.id);
      this.reportNotAccepted(job.id, result);
      return Result.err(
        result === 'refused'
          ? Failure.create(ErrorKind.logUnavailable, `job ${job.id} was not stored`, {
              retryAfterS: chooseRetryAfterS(job, this.options.storeOutageMs()),
            })
          : Failure.create(ErrorKind.appendUnknown, `job ${job.id} may or may not be stored`),
      );
    });
    this.outstandingSubmissions.set(job.id, submission);
    return submission;
  }

  private reportNotAccepted(
    job: string,
    outcome: 'refused' | 'unknown' | 'given-up' | Refusal['reason'],
  ): void {
    this.options.log('warn', 'job-not-accepted', {
      job,
      reason: outcome,
      storeSilentMs: Math.round(this.options.storeOutageMs()),
      replicaAgeMs: Math.round(this.options.replicaAgeMs()),
    });
    this.options.count('jobs_not_accepted_total');
  }

  private isStoreUnavailable(): boolean {
    return this.options.storeOutageMs() > STORE_OUTAGE_MS;
  }

  /** True when neither the store nor another process answers. */
  private isCutOff(): boolean {
    return this.isStoreUnavailable() && this.options.contactAgeMs() > CONTACT_TIMEOUT_MS;
  }

  /** True for a job that is in the replica or was accepted here. */
  private hasJob(id: string): boolean {
    return this.options.state()?.jobStateOf(id) !== undefined || this.acceptedJobs.has(id);
  }

  /** State of a job that was accepted here and that the replica does not show yet. */
  private findAcceptedJobState(id: string): CellJobState | undefined {
    return this.acceptedJobs.has(id) ? 'queued' : undefined;
  }

  /**
   * Logs what the answer rests on: with the `job-ended` line of the owner it shows whether the
   * retention time of the job has passed in the log, or whether the replica never had the job.
   */
  private createUnknownJobFailure(id: string, source: 'replica' | 'heard'): Failure {
    const { log, count, state, replicaAgeMs } = this.options;
    const replica = state();
    const replicaAge = replicaAgeMs();
    log('info', 'job-unknown', {
      job: id,
      source,
      cellTimeMs: replica?.cellTimeMs ?? null,
      offset: replica?.nextOffset ?? null,
      endedJobs: replica?.ended.size ?? null,
      replicaAgeMs: Number.isFinite(replicaAge) ? Math.round(replicaAge) : null,
    });
    count('jobs_unknown_total');
    return Failure.create(ErrorKind.unknownJob, `no job with the id ${id} is known`);
  }

  private createUnavailableFailure(message: string): Failure {
    return Failure.create(ErrorKind.logUnavailable, message);
  }

  /** Fails with `append-unknown` if the result is not known within `timeoutMs`. */
  private limitDuration(
    result: Promise<Result<Unit, Failure>>,
    timeoutMs: number,
    message: string,
  ): Promise<Result<Unit, Failure>> {
    return new Promise((resolve) => {
      const cancel = this.options.clock.after(timeoutMs, () => {
        this.options.log('warn', 'answer-timeout', { message, timeoutMs: Math.round(timeoutMs) });
        resolve(Result.err(Failure.create(ErrorKind.appendUnknown, message)));
      });
      void result.then((value) => {
        cancel();
        resolve(value);
      });
    });
  }
}

/** Returns the later of two states of different age; a job never returns to an earlier state. */
function chooseLater(
  knownState: CellJobState | undefined,
  reportedState: CellJobState,
): CellJobState {
  return knownState === 'running' && reportedState === 'queued' ? knownState : reportedState;
}
