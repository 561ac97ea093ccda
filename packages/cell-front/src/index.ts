import Result from 'true-myth/result';
import type Unit from 'true-myth/unit';
import type { Clock } from '@acaciahoist/clock';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import type { CellJob } from '@acaciahoist/cell-types';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { JobOutcome } from '@acaciahoist/cell-types/job-outcome';
import type { CellState } from '@acaciahoist/cell-state';
import type { EventLog } from '@acaciahoist/types/event-log';
import type { HeardCount } from './heard-count.js';
import { PendingCounts } from './pending-counts.js';
import { RecentMap } from './recent-map.js';
import type { RemoteOutcome } from './remote-outcome.js';
import { storeRecord } from './store-record.js';

interface Options {
  clock: Clock;
  log: EventLog;
  count: (name: string, by?: number) => void;
  /** The own replica; undefined while this process holds none. */
  state: () => CellState | undefined;
  /** Upper bound of the age in ms of what the replica knows. */
  replicaAgeMs: () => number;
  /** Time in ms since another process with a current replica answered. */
  contactAgeMs: () => number;
  /** Time in ms since the store last answered. */
  storeSilentMs: () => number;
  /** Waits until the replica has all that is in the log now; false when that cannot be known. */
  sync: (timeoutMs: number) => Promise<boolean>;
  append: (record: CellRecord) => Promise<'appended' | 'refused' | 'unknown'>;
  /** Reaches the store through another process; `refused` when that does not work either. */
  relayAppend: (record: CellRecord) => Promise<'appended' | 'refused' | 'unknown'>;
  /** Appends through a process that is not the owner. */
  relayThroughStandby: (record: CellRecord) => Promise<'appended' | 'refused' | 'unknown'>;
  /** Asks other processes for a job; undefined when none of them can say. */
  askOutcome: (id: string) => Promise<RemoteOutcome | undefined>;
  /** Waiting jobs of a queue as another process counted them; undefined when none told. */
  heardPending: (queue: string) => HeardCount | undefined;
  /** Asks other processes for their counts; resolves when they have answered or will not. */
  askCounts: () => Promise<void>;
  /** How long ended jobs are remembered, in ms. */
  retentionMs: number;
}

/** A store that owes an answer for this long in ms is away: requests are refused at once. A slow one takes 400. */
const STORE_OUTAGE_MS = 600;
/** A process that heard of no other for this long in ms, and not of the store either, is cut off. */
const CONTACT_TIMEOUT_MS = 900;
/** A replica older than this in ms may show a job as running that has ended: the owner is asked. */
const MAX_REPLICA_AGE_MS = 900;
/** Bounds in ms of the wait before a second way is tried. A record takes 20 ms, 500 ms when the store is slow. */
const MIN_HEDGE_DELAY_MS = 250;
const MAX_HEDGE_DELAY_MS = 900;
const HEDGE_DELAY_FACTOR = 2;
/** Longest time in ms that an answer waits for the replica to catch up. */
const SYNC_TIMEOUT_MS = 1_000;
/** Jobs that are remembered as accepted or ended here; more only cost a question to another process. */
const MAX_REMEMBERED = 10_000;
/** A job that was accepted this short a time ago in ms has not ended; nobody is asked. */
const RECENTLY_ACCEPTED_MS = 150;
const ENDED_OUTCOMES: ReadonlySet<JobOutcome> = new Set(['completed', 'failed', 'cancelled']);

/** Accepts, shows and cancels jobs on behalf of clients. A job is accepted once it is in the log. */
export class CellFront {
  static create(options: Options): CellFront {
    return new CellFront(options);
  }

  /** Submissions in flight by job, so that a repeated one waits for the first. */
  private readonly outstandingSubmissions = new Map<string, Promise<Result<Unit, Failure>>>();
  /** Jobs that were accepted here and that the replica, if there is one, has not read yet. */
  private readonly acceptedJobs: RecentMap<true>;
  /** Outcomes that other processes told; an ended job stays as it is. */
  private readonly endedOutcomes: RecentMap<JobOutcome>;
  private readonly pendingCounts: PendingCounts;

  /** Time in ms that the newest record took to be stored. */
  private lastStoreMs = 0;

  private constructor(private readonly options: Options) {
    const { clock, retentionMs } = options;
    const mapOptions = { clock, maxAgeMs: retentionMs, maxSize: MAX_REMEMBERED };
    this.acceptedJobs = RecentMap.create(mapOptions);
    this.endedOutcomes = RecentMap.create(mapOptions);
    this.pendingCounts = PendingCounts.create(options);
  }

  /**
   * Accepts a job. Fails with `log-unavailable` when the job is not accepted and never runs, and with
   * `append-unknown` when that cannot be known within `timeoutMs`.
   */
  submit(job: CellJob, timeoutMs: number): Promise<Result<Unit, Failure>> {
    if (this.isKnown(job.id)) return Promise.resolve(Result.ok());
    const outstanding = this.outstandingSubmissions.get(job.id);
    const submission = outstanding ?? this.appendJob(job);
    return this.limitDuration(submission, timeoutMs, `job ${job.id} is not yet known to be stored`);
  }

  /** State of a job. Fails with `unknown-job`, or with `log-unavailable` when that cannot be known. */
  async outcomeOf(id: string): Promise<Result<JobOutcome, Failure>> {
    const state = this.options.state();
    if (state === undefined) return this.requestOutcome(id);
    const known = state.outcomeOf(id) ?? this.findAcceptedOutcome(id);
    const mayHaveEnded = known === undefined || !ENDED_OUTCOMES.has(known);
    if (mayHaveEnded && this.options.replicaAgeMs() > MAX_REPLICA_AGE_MS) {
      const answer = await this.options.askOutcome(id);
      if (answer?.kind === 'known') return Result.ok(chooseLater(known, answer.outcome));
    }
    if (known !== undefined) return Result.ok(known);
    const isCurrent = await this.options.sync(SYNC_TIMEOUT_MS);
    const syncedState = this.options.state();
    if (syncedState === undefined) return this.requestOutcome(id);
    const syncedOutcome = syncedState.outcomeOf(id) ?? this.findAcceptedOutcome(id);
    if (syncedOutcome !== undefined) return Result.ok(syncedOutcome);
    return Result.err(
      isCurrent
        ? createUnknownJobFailure(id)
        : this.createUnavailableFailure(`job ${id} is not known here`),
    );
  }

  /** The outcome without a replica of one's own. */
  private async requestOutcome(id: string): Promise<Result<JobOutcome, Failure>> {
    const endedOutcome = this.endedOutcomes.get(id);
    if (endedOutcome !== undefined) return Result.ok(endedOutcome);
    if (this.acceptedJobs.ageMs(id) < RECENTLY_ACCEPTED_MS) return Result.ok('queued');
    const answer = await this.options.askOutcome(id);
    if (answer?.kind === 'known') {
      if (ENDED_OUTCOMES.has(answer.outcome)) this.endedOutcomes.set(id, answer.outcome);
      return Result.ok(answer.outcome);
    }
    const acceptedOutcome = this.findAcceptedOutcome(id);
    if (acceptedOutcome !== undefined) return Result.ok(acceptedOutcome);
    return Result.err(
      answer === undefined
        ? this.createUnavailableFailure(`job ${id} is not known here`)
        : createUnknownJobFailure(id),
    );
  }

  /** Cancels a job; a job that has ended stays as it is. Fails like `outcomeOf` and `submit`. */
  async cancel(id: string, timeoutMs: number): Promise<Result<Unit, Failure>> {
    const outcome = await this.outcomeOf(id);
    if (outcome.isErr) return Result.err(outcome.error);
    if (ENDED_OUTCOMES.has(outcome.value)) return Result.ok();
    const cancelled = this.store({ kind: 'cancel', id }).then((result) => {
      if (result === 'appended') return Result.ok();
      return Result.err(
        result === 'refused'
          ? this.createUnavailableFailure('the cancel was not stored')
          : Failure.create(ErrorKind.appendUnknown, `cancel of ${id} may or may not be stored`),
      );
    });
    const result = await this.limitDuration(
      cancelled,
      timeoutMs,
      `cancel of ${id} is not yet stored`,
    );
    this.options.log('info', 'cancel-answered', { job: id, stored: result.isOk });
    return result;
  }

  /** Accepted jobs of a queue for which no task has started; undefined when that is not known. */
  pendingOf(queue: string): Promise<number | undefined> {
    return this.pendingCounts.of(queue);
  }

  /** To be called for every job record that the replica applied. */
  observeJob(id: string): void {
    this.acceptedJobs.delete(id);
  }

  /**
   * The relay goes first where there is one: the owner appends records of many processes at a time,
   * and a store that is slow or busy takes few appends.
   */
  private async store(record: CellRecord): Promise<'appended' | 'refused' | 'unknown'> {
    // Nothing is sent, so that the refusal is certain and the client may turn elsewhere at once.
    if (this.isStoreUnavailable() && this.options.contactAgeMs() > CONTACT_TIMEOUT_MS)
      return 'refused';
    const { clock, append, relayAppend, relayThroughStandby } = this.options;
    const sentMs = clock.monotonicMs();
    const direct = (): ReturnType<typeof append> => append(record);
    const relay = (): ReturnType<typeof append> => relayAppend(record);
    const standbyRelay = (): ReturnType<typeof append> => relayThroughStandby(record);
    const outcome = await storeRecord({
      clock,
      routes: this.isStoreUnavailable() ? [relay, standbyRelay] : [relay, direct, standbyRelay],
      hedgeDelayMs: Math.min(
        MAX_HEDGE_DELAY_MS,
        Math.max(MIN_HEDGE_DELAY_MS, HEDGE_DELAY_FACTOR * this.lastStoreMs),
      ),
    });
    if (outcome === 'appended') this.lastStoreMs = clock.monotonicMs() - sentMs;
    return outcome;
  }

  private appendJob(job: CellJob): Promise<Result<Unit, Failure>> {
    const submission = this.store({ kind: 'job', job }).then((result) => {
      this.outstandingSubmissions.delete(job.id);
      if (result === 'appended') {
        if (!this.isKnown(job.id)) this.acceptedJobs.set(job.id, true);
        this.options.log('info', 'job-accepted', {
          job: job.id,
          queue: job.queue.name,
          steps: job.steps.length,
        });
        this.options.count('jobs_accepted_total');
        return Result.ok();
      }
      this.reportRefusal(job.id, result);
      return Result.err(
        result === 'refused'
          ? this.createUnavailableFailure('the job was not stored')
          : Failure.create(ErrorKind.appendUnknown, `job ${job.id} may or may not be stored`),
      );
    });
    this.outstandingSubmissions.set(job.id, submission);
    return submission;
  }

  private reportRefusal(job: string, reason: string): void {
    this.options.log('warn', 'job-not-accepted', {
      job,
      reason,
      storeSilentMs: Math.round(this.options.storeSilentMs()),
      replicaAgeMs: Math.round(this.options.replicaAgeMs()),
    });
    this.options.count('jobs_not_accepted_total');
  }

  private isStoreUnavailable(): boolean {
    return this.options.storeSilentMs() > STORE_OUTAGE_MS;
  }

  private isKnown(id: string): boolean {
    return this.options.state()?.outcomeOf(id) !== undefined || this.acceptedJobs.has(id);
  }

  private findAcceptedOutcome(id: string): JobOutcome | undefined {
    return this.acceptedJobs.has(id) ? 'queued' : undefined;
  }

  private createUnavailableFailure(message: string): Failure {
    return Failure.create(ErrorKind.logUnavailable, message);
  }

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

/** A job never goes back: of two outcomes of different age the one that is further on is the younger. */
function chooseLater(known: JobOutcome | undefined, received: JobOutcome): JobOutcome {
  return known === 'running' && received === 'queued' ? known : received;
}

function createUnknownJobFailure(id: string): Failure {
  return Failure.create(ErrorKind.unknownJob, `no job with the id ${id} is known`);
}
