import { RunEnd } from '@acaciahoist/cell-types/run-end';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import { limits } from './limits.js';
import type { OwnerContext } from './owner-context.js';
import type { WorkerSession } from './worker-session.js';

/**
 * Ends the runs on unreachable workers as lost once all leases of these workers have expired, and records when
 * that will be, so that a successor waits only for the remaining time.
 */
export class WorkerLeases {
  /**
   * `claimedAtMs` is the monotonic time at which this process applied its claim, and `formerRecordAtMs` one by
   * which all records of the former owners were in the log.
   */
  static create(
    context: OwnerContext,
    { claimedAtMs, formerRecordAtMs }: { claimedAtMs: number; formerRecordAtMs: number },
  ): WorkerLeases {
    return new WorkerLeases(context, claimedAtMs, formerRecordAtMs);
  }

  /** Cell time in ms at which this process applied its claim. */
  private readonly termStartMs: number;
  /** Monotonic times at which the leases have expired that former owners recorded as such, by worker. */
  private readonly recordedExpireAtMs: ReadonlyMap<string, number>;
  /** Monotonic time at which all leases of any former owner have expired at a worker without a record. */
  private readonly predecessorsExpireAtMs: number;
  /** Monotonic time at which the leases of closed sessions have expired, by worker. */
  private readonly closedExpireAtMs = new Map<string, number>();
  /** Workers whose lease end is being appended. */
  private readonly pendingUnreachable = new Set<string>();
  /** Workers of which the record that they were reached is being appended. */
  private readonly pendingReached = new Set<string>();
  /** Workers that this owner has recorded as reached. */
  private readonly reached = new Set<string>();

  private constructor(
    private readonly context: OwnerContext,
    private readonly claimedAtMs: number,
    formerRecordAtMs: number,
  ) {
    const { state } = context;
    this.termStartMs = state.termStartMs;
    this.predecessorsExpireAtMs =
      formerRecordAtMs +
      (limits.maxAppendAgeForLeaseMs + limits.leaseMs) / (1 - limits.clockDrift) +
      limits.clockMarginMs;
    this.recordedExpireAtMs = new Map(
      state.leaseEnds
        .list()
        .map(([worker, expireAtMs]) => [worker, formerRecordAtMs + expireAtMs - this.termStartMs]),
    );
  }

  /**
   * Ends the runs on unreachable workers whose leases have expired, and records the lease ends of the other
   * unreachable workers that have runs.
   */
  endLostRuns(): void {
    const nowMs = this.context.clock.monotonicMs();
    const unreachable = new Map<string, number>();
    for (const trackedRun of [...this.context.runs.list()]) {
      const { worker } = trackedRun;
      const session = this.context.sessions.get(worker);
      if (session?.isReachable) continue;
      const expireAtMs = this.computeExpireAtMs(worker, session);
      if (nowMs > expireAtMs) this.context.proposeRunEnd(trackedRun, RunEnd.lost, 'lease-over');
      else if (this.isDue(worker, session)) unreachable.set(worker, expireAtMs);
    }
    if (unreachable.size === 0) return;
    for (const worker of unreachable.keys()) this.pendingUnreachable.add(worker);
    this.append({
      unreachable: [...unreachable].map(([worker, expireAtMs]) => [
        worker,
        Math.ceil(this.termStartMs + expireAtMs - this.claimedAtMs),
      ]),
    });
  }

  /** Returns true when the worker must get no lease, because a record says that none is extended. */
  isWithheld(worker: string): boolean {
    const { leaseEnds } = this.context.state;
    return (
      this.pendingUnreachable.has(worker) ||
      leaseEnds.has(worker) ||
      (!leaseEnds.isComplete && !this.reached.has(worker))
    );
  }

  /** Handles an answer of a worker: records that it is reached, which must precede the next lease. */
  handleAnswer(worker: string): void {
    if (this.pendingUnreachable.has(worker) || this.pendingReached.has(worker)) return;
    if (!this.isWithheld(worker)) return;
    this.pendingReached.add(worker);
    this.append({ reached: [worker] });
  }

  /** Keeps the lease end of a session that is closed. */
  keepClosed(session: WorkerSession): void {
    const expireAtMs = Math.max(
      this.closedExpireAtMs.get(session.id) ?? 0,
      session.leasesExpireAtMs,
    );
    this.closedExpireAtMs.set(session.id, expireAtMs);
  }

  /** Handles a renewal after it was applied. */
  handleRenewal(record: Extract<CellRecord, { kind: 'renew' }>): void {
    if (record.token !== this.context.token) return;
    for (const [worker] of record.unreachable ?? []) {
      this.pendingUnreachable.delete(worker);
      this.reached.delete(worker);
    }
    for (const worker of record.reached ?? []) {
      this.pendingReached.delete(worker);
      this.reached.add(worker);
    }
  }

  /** Returns the monotonic time at which all leases have expired that any owner granted to the worker. */
  private computeExpireAtMs(worker: string, session: WorkerSession | undefined): number {
    const ownExpireAtMs = Math.max(
      session?.leasesExpireAtMs ?? 0,
      this.closedExpireAtMs.get(worker) ?? 0,
    );
    if (session?.hasSeenToken) return ownExpireAtMs;
    const formerExpireAtMs = Math.min(
      this.predecessorsExpireAtMs,
      this.recordedExpireAtMs.get(worker) ?? Number.POSITIVE_INFINITY,
    );
    return Math.max(ownExpireAtMs, formerExpireAtMs);
  }

  /** Returns true when the lease end of an unreachable worker is to be recorded. */
  private isDue(worker: string, session: WorkerSession | undefined): boolean {
    // While the store does not answer, the record would delay the leases of a worker that answers again.
    if (this.context.lastAppendAgeMs() > limits.maxAppendAgeForStopMs) return false;
    if (this.pendingUnreachable.has(worker) || this.pendingReached.has(worker)) return false;
    if (this.context.state.leaseEnds.has(worker)) return false;
    const silentMs = session?.contactAgeMs() ?? this.context.clock.monotonicMs() - this.claimedAtMs;
    return silentMs >= limits.leaseEndRecordDelayMs;
  }

  private append(fields: { unreachable?: [string, number][]; reached?: string[] }): void {
    const { clock, token, state } = this.context;
    this.context.append([
      {
        kind: 'renew',
        wallMs: clock.wallMs(),
        token,
        termMs: Math.floor(clock.monotonicMs() - this.claimedAtMs),
        asOfOffset: state.nextOffset,
        ...fields,
      },
    ]);
  }
}
