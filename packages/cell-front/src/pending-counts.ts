import type { Clock } from '@acaciahoist/clock';
import type { CellState } from '@acaciahoist/cell-state';
import type { EventLog } from '@acaciahoist/types/event-log';
import type { ReportedCount } from './reported-count.js';

interface Options {
  clock: Clock;
  log: EventLog;
  /** The replica of this process; undefined while it holds none. */
  state: () => CellState | undefined;
  /** Upper bound of the age in ms of the replica. */
  replicaAgeMs: () => number;
  /**
   * Waits until the replica has every record that is in the log now; false when that cannot be
   * ensured.
   */
  sync: (timeoutMs: number) => Promise<boolean>;
  /** Pending count of a queue as another process reported it; undefined when none did. */
  findReportedCount: (queue: string) => ReportedCount | undefined;
  /**
   * Queries other processes for their pending counts; resolves when they have answered or timed
   * out.
   */
  queryCounts: () => Promise<void>;
}

interface SourcedCount extends ReportedCount {
  /** Logged with the count; `heard` is a count that another process reported. */
  source: 'replica' | 'heard';
}

/**
 * Maximum age in ms of a count when the client receives it, as the platform's interface specifies.
 */
const MAX_RECEIVED_AGE_MS = 2_000;
/**
 * Part of that age in ms that is reserved for delivering the response, which took 415 ms on a busy
 * machine of 0.3 cores.
 */
const RESPONSE_DELIVERY_MS = 500;
/** Maximum age in ms of a count when the response is sent. */
const MAX_AGE_MS = MAX_RECEIVED_AGE_MS - RESPONSE_DELIVERY_MS;
/**
 * Maximum time in ms that a client waits for a current count. A query takes 2 ms, at most 250 ms.
 */
const QUERY_TIMEOUT_MS = 300;
/**
 * Pause in ms after a query that gave no current count. Meanwhile clients are refused at once.
 */
const QUERY_PAUSE_MS = 500;

/**
 * Returns pending counts from the replica or from other processes, never older than clients may
 * receive them. Only this class discards a count because of its age; the processes that forward a
 * count only add to its age.
 */
export class PendingCounts {
  static create(options: Options): PendingCounts {
    return new PendingCounts(options);
  }

  private outstandingQuery: Promise<void> | undefined;
  private queryPausedUntilMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: Options) {}

  /** Returns the pending count of a queue; undefined when no current count is known. */
  async findCount(queue: string): Promise<number | undefined> {
    if (!isCurrent(this.findNewest(queue))) await this.refresh(queue);
    const newestCount = this.findNewest(queue);
    const pending = isCurrent(newestCount) ? newestCount?.count : undefined;
    this.options.log('info', 'pending-reported', {
      queue,
      pending: pending ?? null,
      source: newestCount?.source ?? null,
      ageMs: newestCount === undefined ? null : Math.round(newestCount.ageMs),
    });
    return pending;
  }

  private findNewest(queue: string): SourcedCount | undefined {
    const { replicaAgeMs, findReportedCount } = this.options;
    const state = this.options.state();
    const reportedCount = findReportedCount(queue);
    const ageMs = replicaAgeMs();
    if (reportedCount !== undefined && (state === undefined || reportedCount.ageMs < ageMs))
      return { ...reportedCount, source: 'heard' };
    return state && { count: state.pendingOf(queue), ageMs, source: 'replica' };
  }

  /** Queries the log and other processes, once for all clients that wait for a count. */
  private refresh(queue: string): Promise<void> {
    const { clock } = this.options;
    if (this.outstandingQuery !== undefined) return this.outstandingQuery;
    if (clock.monotonicMs() < this.queryPausedUntilMs) return Promise.resolve();
    const query = this.queryAll(queue).then(() => {
      this.outstandingQuery = undefined;
      if (!isCurrent(this.findNewest(queue)))
        this.queryPausedUntilMs = clock.monotonicMs() + QUERY_PAUSE_MS;
    });
    this.outstandingQuery = query;
    return query;
  }

  /** Resolves once a count is current, all queries have ended, or the timeout is over. */
  private queryAll(queue: string): Promise<void> {
    const { clock, state, sync, queryCounts } = this.options;
    const queries: Promise<unknown>[] = [queryCounts()];
    if (state() !== undefined) queries.push(sync(QUERY_TIMEOUT_MS));
    return new Promise((resolve) => {
      const cancel = clock.after(QUERY_TIMEOUT_MS, resolve);
      const resolveIfCurrent = (): void => {
        if (!isCurrent(this.findNewest(queue))) return;
        cancel();
        resolve();
      };
      for (const query of queries) void query.then(resolveIfCurrent);
      void Promise.all(queries).then(() => {
        cancel();
        resolve();
      });
    });
  }
}

function isCurrent(count: SourcedCount | undefined): boolean {
  return count !== undefined && count.ageMs <= MAX_AGE_MS;
}
