import type { Clock } from '@acaciahoist/clock';
import type { CellState } from '@acaciahoist/cell-state';
import type { EventLog } from '@acaciahoist/types/event-log';
import type { HeardCount } from './heard-count.js';

interface Options {
  clock: Clock;
  log: EventLog;
  /** The own replica; undefined while this process holds none. */
  state: () => CellState | undefined;
  /** Upper bound of the age in ms of what the replica knows. */
  replicaAgeMs: () => number;
  /** Waits until the replica has all that is in the log now; false when that cannot be known. */
  sync: (timeoutMs: number) => Promise<boolean>;
  /** Waiting jobs of a queue as another process counted them; undefined when none told. */
  heardPending: (queue: string) => HeardCount | undefined;
  /** Asks other processes for their counts; resolves when they have answered or will not. */
  askCounts: () => Promise<void>;
}

interface SourcedCount extends HeardCount {
  source: 'replica' | 'heard';
}

/** Age in ms that a count may have when a client receives it; the platform's interface says so. */
const MAX_RECEIVED_AGE_MS = 2_000;
/** Kept of it in ms for the way of the answer. One took 415 ms on a busy machine of 0.3 cores. */
const ANSWER_DELIVERY_MS = 500;
const MAX_AGE_MS = MAX_RECEIVED_AGE_MS - ANSWER_DELIVERY_MS;
/** Longest time in ms that a client waits for a younger count. A question takes 2 ms, 250 at most. */
const REQUEST_TIMEOUT_MS = 300;
/** Time in ms for which nobody is asked again after nobody could tell; clients are refused at once. */
const REQUEST_PAUSE_MS = 500;

/**
 * Counts of waiting jobs, from the replica or from other processes, and never older than clients may be
 * told. The only place where the age of a count is bounded: all that hand counts on add up their ages.
 */
export class PendingCounts {
  static create(options: Options): PendingCounts {
    return new PendingCounts(options);
  }

  private outstandingRequest: Promise<void> | undefined;
  private nextRequestMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: Options) {}

  /** Accepted jobs of a queue for which no task has started; undefined when no young count is known. */
  async of(queue: string): Promise<number | undefined> {
    if (!isCurrent(this.findNewest(queue))) await this.refresh(queue);
    const newest = this.findNewest(queue);
    const pending = isCurrent(newest) ? newest?.count : undefined;
    this.options.log('info', 'pending-told', {
      queue,
      pending: pending ?? null,
      source: newest?.source ?? null,
      ageMs: newest === undefined ? null : Math.round(newest.ageMs),
    });
    return pending;
  }

  private findNewest(queue: string): SourcedCount | undefined {
    const { replicaAgeMs, heardPending } = this.options;
    const state = this.options.state();
    const reported = heardPending(queue);
    const ageMs = replicaAgeMs();
    if (reported !== undefined && (state === undefined || reported.ageMs < ageMs))
      return { ...reported, source: 'heard' };
    return state && { count: state.pendingOf(queue), ageMs, source: 'replica' };
  }

  /** Asks the log and other processes, once for all clients that wait for a count. */
  private refresh(queue: string): Promise<void> {
    const { clock } = this.options;
    if (this.outstandingRequest !== undefined) return this.outstandingRequest;
    if (clock.monotonicMs() < this.nextRequestMs) return Promise.resolve();
    const request = this.requestCounts(queue).then(() => {
      this.outstandingRequest = undefined;
      if (!isCurrent(this.findNewest(queue)))
        this.nextRequestMs = clock.monotonicMs() + REQUEST_PAUSE_MS;
    });
    this.outstandingRequest = request;
    return request;
  }

  /** Resolves with the first young count, when all have answered, or when the time is up. */
  private requestCounts(queue: string): Promise<void> {
    const { clock, state, sync, askCounts } = this.options;
    const answers: Promise<unknown>[] = [askCounts()];
    if (state() !== undefined) answers.push(sync(REQUEST_TIMEOUT_MS));
    return new Promise((resolve) => {
      const cancel = clock.after(REQUEST_TIMEOUT_MS, resolve);
      const resolveIfCurrent = (): void => {
        if (!isCurrent(this.findNewest(queue))) return;
        cancel();
        resolve();
      };
      for (const answer of answers) void answer.then(resolveIfCurrent);
      void Promise.all(answers).then(() => {
        cancel();
        resolve();
      });
    });
  }
}

function isCurrent(count: SourcedCount | undefined): boolean {
  return count !== undefined && count.ageMs <= MAX_AGE_MS;
}
