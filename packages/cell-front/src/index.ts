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
const STORE_AWAY_MS = 600;
/** A process that heard of no other for this long in ms, and not of the store either, is cut off. */
const CONTACT_LOST_MS = 900;
/** A replica older than this in ms may show a job as running that has ended: the owner is asked. */
const REPLICA_BEHIND_MS = 900;
/** Bounds in ms of the wait before a second way is tried. A record takes 20 ms, 500 ms when the store is slow. */
const MIN_HEDGE_MS = 250;
const MAX_HEDGE_MS = 900;
const HEDGE_FACTOR = 2;
/** Longest time in ms that an answer waits for the replica to catch up. */
const SYNC_MS = 1_000;
/** Jobs that are remembered as accepted or ended here; more only cost a question to another process. */
const MAX_REMEMBERED = 10_000;
/** A job that was accepted this short a time ago in ms has not ended; nobody is asked. */
const JUST_ACCEPTED_MS = 150;
const ENDED: ReadonlySet<JobOutcome> = new Set(['completed', 'failed', 'cancelled']);

/** Accepts, shows and cancels jobs on behalf of clients. A job is accepted once it is in the log. */
export class CellFront {
  static create(options: Options): CellFront {
    return new CellFront(options);
  }

  /** Submissions in flight by job, so that a repeated one waits for the first. */
  private readonly inFlight = new Map<string, Promise<Result<Unit, Failure>>>();
  /** Jobs that were accepted here and that the replica, if there is one, has not read yet. */
  private readonly accepted: RecentMap<true>;
  /** Outcomes that other processes told; an ended job stays as it is. */
  private readonly ended: RecentMap<JobOutcome>;
  private readonly counts: PendingCounts;

  /** Time in ms that the newest record took to be stored. */
  private storedMs = 0;

  private constructor(private readonly options: Options) {
    const { clock, retentionMs } = options;
    const bounds = { clock, maxAgeMs: retentionMs, maxSize: MAX_REMEMBERED };
    this.accepted = RecentMap.create(bounds);
    this.ended = RecentMap.create(bounds);
    this.counts = PendingCounts.create(options);
  }

  /**
   * Accepts a job. Fails with `log-unavailable` when the job is not accepted and never runs, and with
   * `append-unknown` when that cannot be known within `timeoutMs`.
   */
  submit(job: CellJob, timeoutMs: number): Promise<Result<Unit, Failure>> {
    if (this.isKnown(job.id)) return Promise.resolve(Result.ok());
    const earlier = this.inFlight.get(job.id);
    const submission = earlier ?? this.appendJob(job);
    return this.within(submission, timeoutMs, `job ${job.id} is not yet known to be stored`);
  }

  /** State of a job. Fails with `unknown-job`, or with `log-unavailable` when that cannot be known. */
  async outcomeOf(id: string): Promise<Result<JobOutcome, Failure>> {
    const state = this.options.state();
    if (state === undefined) return this.askedOutcome(id);
    const known = state.outcomeOf(id) ?? this.overlay(id);
    const mayHaveEnded = known === undefined || !ENDED.has(known);
    if (mayHaveEnded && this.options.replicaAgeMs() > REPLICA_BEHIND_MS) {
      const answer = await this.options.askOutcome(id);
      if (answer?.kind === 'known') return Result.ok(later(known, answer.outcome));
    }
    if (known !== undefined) return Result.ok(known);
    const isCurrent = await this.options.sync(SYNC_MS);
    const synced = this.options.state();
    if (synced === undefined) return this.askedOutcome(id);
    const found = synced.outcomeOf(id) ?? this.overlay(id);
    if (found !== undefined) return Result.ok(found);
    return Result.err(isCurrent ? unknownJob(id) : this.unavailable(`job ${id} is not known here`));
  }

  /** The outcome without a replica of one's own. */
  private async askedOutcome(id: string): Promise<Result<JobOutcome, Failure>> {
    const ended = this.ended.get(id);
    if (ended !== undefined) return Result.ok(ended);
    if (this.accepted.ageMs(id) < JUST_ACCEPTED_MS) return Result.ok('queued');
    const answer = await this.options.askOutcome(id);
    if (answer?.kind === 'known') {
      if (ENDED.has(answer.outcome)) this.ended.set(id, answer.outcome);
      return Result.ok(answer.outcome);
    }
    const accepted = this.overlay(id);
    if (accepted !== undefined) return Result.ok(accepted);
    return Result.err(
      answer === undefined ? this.unavailable(`job ${id} is not known here`) : unknownJob(id),
    );
  }

  /** Cancels a job; a job that has ended stays as it is. Fails like `outcomeOf` and `submit`. */
  async cancel(id: string, timeoutMs: number): Promise<Result<Unit, Failure>> {
    const outcome = await this.outcomeOf(id);
    if (outcome.isErr) return Result.err(outcome.error);
    if (ENDED.has(outcome.value)) return Result.ok();
    const cancelled = this.store({ kind: 'cancel', id }).then((result) => {
      if (result === 'appended') return Result.ok();
      return Result.err(
        result === 'refused'
          ? this.unavailable('the cancel was not stored')
          : Failure.create(ErrorKind.appendUnknown, `cancel of ${id} may or may not be stored`),
      );
    });
    const result = await this.within(cancelled, timeoutMs, `cancel of ${id} is not yet stored`);
    this.options.log('info', 'cancel-answered', { job: id, stored: result.isOk });
    return result;
  }

  /** Accepted jobs of a queue for which no task has started; undefined when that is not known. */
  pendingOf(queue: string): Promise<number | undefined> {
    return this.counts.of(queue);
  }

  /** To be called for every job record that the replica applied. */
  observeJob(id: string): void {
    this.accepted.delete(id);
  }

  /**
   * The relay goes first where there is one: the owner appends records of many processes at a time,
   * and a store that is slow or busy takes few appends.
   */
  private async store(record: CellRecord): Promise<'appended' | 'refused' | 'unknown'> {
    // Nothing is sent, so that the refusal is certain and the client may turn elsewhere at once.
    if (this.isStoreAway() && this.options.contactAgeMs() > CONTACT_LOST_MS) return 'refused';
    const { clock, append, relayAppend, relayThroughStandby } = this.options;
    const sentMs = clock.monotonicMs();
    const direct = (): ReturnType<typeof append> => append(record);
    const relay = (): ReturnType<typeof append> => relayAppend(record);
    const detour = (): ReturnType<typeof append> => relayThroughStandby(record);
    const outcome = await storeRecord({
      clock,
      ways: this.isStoreAway() ? [relay, detour] : [relay, direct, detour],
      hedgeMs: Math.min(MAX_HEDGE_MS, Math.max(MIN_HEDGE_MS, HEDGE_FACTOR * this.storedMs)),
    });
    if (outcome === 'appended') this.storedMs = clock.monotonicMs() - sentMs;
    return outcome;
  }

  private appendJob(job: CellJob): Promise<Result<Unit, Failure>> {
    const submission = this.store({ kind: 'job', job }).then((result) => {
      this.inFlight.delete(job.id);
      if (result === 'appended') {
        if (!this.isKnown(job.id)) this.accepted.set(job.id, true);
        this.options.log('info', 'job-accepted', {
          job: job.id,
          queue: job.queue.name,
          steps: job.steps.length,
        });
        this.options.count('jobs_accepted_total');
        return Result.ok();
      }
      this.noteRefusal(job.id, result);
      return Result.err(
        result === 'refused'
          ? this.unavailable('the job was not stored')
          : Failure.create(ErrorKind.appendUnknown, `job ${job.id} may or may not be stored`),
      );
    });
    this.inFlight.set(job.id, submission);
    return submission;
  }

  private noteRefusal(job: string, reason: string): void {
    this.options.log('warn', 'job-not-accepted', {
      job,
      reason,
      storeSilentMs: Math.round(this.options.storeSilentMs()),
      replicaAgeMs: Math.round(this.options.replicaAgeMs()),
    });
    this.options.count('jobs_not_accepted_total');
  }

  private isStoreAway(): boolean {
    return this.options.storeSilentMs() > STORE_AWAY_MS;
  }

  private isKnown(id: string): boolean {
    return this.options.state()?.outcomeOf(id) !== undefined || this.accepted.has(id);
  }

  private overlay(id: string): JobOutcome | undefined {
    return this.accepted.has(id) ? 'queued' : undefined;
  }

  private unavailable(message: string): Failure {
    return Failure.create(ErrorKind.logUnavailable, message);
  }

  private within(
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
function later(known: JobOutcome | undefined, told: JobOutcome): JobOutcome {
  return known === 'running' && told === 'queued' ? known : told;
}

function unknownJob(id: string): Failure {
  return Failure.create(ErrorKind.unknownJob, `no job with the id ${id} is known`);
}
