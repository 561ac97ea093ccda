import type { Clock } from '@acaciahoist/clock';
import type { HoldReply } from '@acaciahoist/cell-types/hold-reply';
import type { WorkerClient } from '@acaciahoist/cell-types/worker-client';
import type { WorkerEntry } from '@acaciahoist/cell-types/worker-entry';
import { callTimeouts } from './call-timeouts.js';
import { limits } from './limits.js';

type HeldReply = Extract<HoldReply, { kind: 'held' }>;

interface Options {
  clock: Clock;
  entry: WorkerEntry;
  client: WorkerClient;
  token: number;
  /** False while the store has been unavailable for too long, so that the owner extends no leases. */
  mayExtendLeases: () => boolean;
  /** True while a record says that this worker gets no leases. */
  isLeaseWithheld: () => boolean;
  /** Event-loop delay of this process in ms. */
  loopDelayMs: () => number;
  /** Longest lease in ms that the worker grants, on its own clock. */
  maxLeaseMs: number;
  /** Called with each reply to a hold call, and the monotonic time at which the call was sent. */
  onHeldReply: (session: WorkerSession, reply: HeldReply, sentAtMs: number) => void;
  /** Called when the worker has seen a higher fencing token. */
  onFenced: () => void;
  /** Called when the process at the address answers that it is not this worker. */
  onGone: (session: WorkerSession, reason: string) => void;
  /** Called when the worker answers as another incarnation than this one. */
  onOtherIncarnation: (session: WorkerSession, reply: HeldReply) => void;
  /** Called when the outcome of a hold call shows the worker to be unreachable, or reachable again. */
  onReachabilityChanged: (session: WorkerSession, isReachable: boolean, reason: string) => void;
  /** Called when the handling of a reply failed with an unexpected error. */
  onUnexpectedError: (session: WorkerSession, error: unknown) => void;
}

/**
 * Session with one incarnation of a worker. Makes one hold call after another; these extend the lease of the
 * worker and return its runs and run ends.
 */
export class WorkerSession {
  static create(options: Options): WorkerSession {
    return new WorkerSession(options);
  }

  entry: WorkerEntry;
  /** Monotonic time at which a draining worker may leave; infinite while that is unknown. */
  leavesAtMs = Number.POSITIVE_INFINITY;
  /** Monotonic time at which the worker's entry was removed; 0 while it is published. */
  missingSinceMs = 0;
  /** False while the published entry of the worker cannot be decoded: the worker gets no starts. */
  isEntryReadable = true;
  /** True while the newest entry is that of a candidate for this session: the worker gets no starts. */
  hasOtherEntry = false;
  /** Monotonic time until which the worker gets no starts. */
  noStartsUntilMs = 0;
  /** True once the worker has seen this owner's token. */
  hasSeenToken = false;
  isReachable = true;
  /** True while the record of this incarnation is being appended to the cell log. */
  isIncarnationRecordPending = false;
  /**
   * Monotonic time at which all leases have expired that this owner granted or that another one can have granted
   * before the worker saw this owner's token.
   */
  leasesExpireAtMs: number;
  /** Highest number among the run ends that the worker has reported. */
  lastReportedEnd = 0;
  /** Run ends up to this number are recorded; hold calls acknowledge them. */
  acknowledgedEnd = 0;
  /** Monotonic time of the newest list of runs; undefined before the first. */
  lastListedAtMs: number | undefined;
  /** Number of rows in the newest reply that could not be decoded. */
  unreadableRows = 0;
  /** Wait in ms of the newest hold call. */
  private holdWaitMs: number = limits.holdWaitMs;
  private isStopped = false;
  private isPolling = false;
  private lastContactAtMs: number;
  /** Newest reading of the worker's clock, with the monotonic time of this process. */
  private clockReading: { workerMs: number; atMs: number } | undefined;

  private constructor(private readonly options: Options) {
    this.entry = options.entry;
    this.lastContactAtMs = options.clock.monotonicMs();
    this.leasesExpireAtMs = this.lastContactAtMs;
  }

  get id(): string {
    return this.entry.id;
  }

  get client(): WorkerClient {
    return this.options.client;
  }

  /** Returns the time in ms since the worker last answered a hold call. */
  contactAgeMs(): number {
    return this.options.clock.monotonicMs() - this.lastContactAtMs;
  }

  /** True when the worker may get starts. */
  isStartable(): boolean {
    return (
      !this.isStopped &&
      this.hasSeenToken &&
      this.isReachable &&
      !this.entry.draining &&
      this.isEntryReadable &&
      !this.hasOtherEntry &&
      !this.options.isLeaseWithheld() &&
      !this.isEntryMissing() &&
      this.clockReading !== undefined &&
      this.contactAgeMs() < this.maxContactAgeMs &&
      this.options.clock.monotonicMs() >= this.noStartsUntilMs
    );
  }

  /** True when the entry was removed and has not reappeared in time: the worker gets no starts. */
  private isEntryMissing(): boolean {
    if (this.missingSinceMs === 0) return false;
    return this.options.clock.monotonicMs() - this.missingSinceMs > limits.missingEntryGraceMs;
  }

  /**
   * Grants a lease that begins now, and updates `leasesExpireAtMs`. Returns the end of the lease on the
   * worker's clock; 0 when no lease may be granted.
   */
  grantLease(): number {
    const { clockReading } = this;
    if (clockReading === undefined || !this.options.mayExtendLeases()) return 0;
    if (this.options.isLeaseWithheld()) return 0;
    const readingAgeMs = this.options.clock.monotonicMs() - clockReading.atMs;
    const durationMs = (readingAgeMs + limits.leaseMs) / (1 - limits.clockDrift);
    this.extendLeaseBound(clockReading.atMs + durationMs + limits.clockMarginMs);
    return Math.round(clockReading.workerMs + readingAgeMs + limits.leaseMs);
  }

  /** Leases never become shorter. */
  private extendLeaseBound(expireAtMs: number): void {
    this.leasesExpireAtMs = Math.max(this.leasesExpireAtMs, expireAtMs);
  }

  /** Makes hold calls until `stop` is called. */
  async runHoldLoop(): Promise<void> {
    const { clock } = this.options;
    while (!this.isStopped) {
      const pauseMs = await this.holdOnce().catch((error: unknown) => {
        // An unexpected error in the handling of one reply must not let the lease of this worker expire.
        this.options.onUnexpectedError(this, error);
        return limits.holdRetryMs;
      });
      if (pauseMs > 0) await new Promise<void>((resolve) => clock.after(pauseMs, resolve));
    }
  }

  /** Makes one hold call; returns the pause in ms before the next one. */
  private async holdOnce(): Promise<number> {
    const { clock, client, token, loopDelayMs } = this.options;
    const sentAtMs = clock.monotonicMs();
    const reply = await client.hold({
      token,
      timeoutMs: callTimeouts.otherMs(loopDelayMs()),
      // An unreachable worker gets no new leases, so that its runs have ended when its last lease has expired.
      leaseUntilMs: this.isReachable ? this.grantLease() : 0,
      acknowledgedEnd: this.acknowledgedEnd,
      waitMs: this.mayWait() ? this.chooseHoldWaitMs() : 0,
    });
    return this.handleReply(reply, sentAtMs);
  }

  /** Age in ms of the last contact from which the state of the worker counts as unknown. */
  get maxContactAgeMs(): number {
    return this.holdWaitMs + limits.maxHoldReplyDelayMs;
  }

  /** Returns false while the next reply is to arrive at once, for example so that a lease can follow it. */
  private mayWait(): boolean {
    return this.clockReading !== undefined && this.isReachable && !this.options.isLeaseWithheld();
  }

  private chooseHoldWaitMs(): number {
    const isBusy = this.options.loopDelayMs() > limits.busyLoopDelayMs;
    this.holdWaitMs = isBusy ? limits.busyHoldWaitMs : limits.holdWaitMs;
    return this.holdWaitMs;
  }

  /**
   * Makes a hold call without a wait, in addition to the one that is waiting, to find out soon whether a run
   * exists.
   */
  async poll(): Promise<void> {
    const { clock, client, token, loopDelayMs } = this.options;
    if (this.isPolling || this.isStopped) return;
    this.isPolling = true;
    const sentAtMs = clock.monotonicMs();
    const { acknowledgedEnd } = this;
    const timeoutMs = callTimeouts.otherMs(loopDelayMs());
    const holdCall = { token, leaseUntilMs: 0, acknowledgedEnd, waitMs: 0, timeoutMs };
    const reply = await client.hold(holdCall);
    this.isPolling = false;
    if (reply.kind !== 'failed') this.handleReply(reply, sentAtMs);
  }

  stop(): void {
    this.isStopped = true;
    this.options.client.close();
  }

  /** Handles the reply to a hold call; returns the pause in ms before the next call. */
  private handleReply(reply: HoldReply, sentAtMs: number): number {
    if (this.isStopped) return 0;
    switch (reply.kind) {
      case 'held':
        return this.handleHeldReply(reply, sentAtMs);
      case 'fenced':
        this.options.onFenced();
        return limits.holdRetryMs;
      case 'gone':
        this.options.onGone(this, reply.reason);
        return 0;
      case 'failed':
        if (this.isReachable) {
          this.isReachable = false;
          this.options.onReachabilityChanged(this, false, reply.reason);
        }
        return limits.holdRetryMs;
    }
  }

  private handleHeldReply(reply: HeldReply, sentAtMs: number): number {
    const nowMs = this.options.clock.monotonicMs();
    if (reply.born !== this.entry.born) {
      this.options.onOtherIncarnation(this, reply);
      return limits.holdRetryMs;
    }
    const isFirstReply = this.clockReading === undefined;
    this.clockReading = { workerMs: reply.clockMs, atMs: nowMs };
    this.lastContactAtMs = nowMs;
    if (!this.hasSeenToken) {
      this.hasSeenToken = true;
      const longestLeaseMs = this.options.maxLeaseMs / (1 - limits.clockDrift);
      this.extendLeaseBound(nowMs + longestLeaseMs + limits.clockMarginMs);
    }
    if (!this.isReachable) {
      this.isReachable = true;
      this.options.onReachabilityChanged(this, true, '');
    }
    this.options.onHeldReply(this, reply, sentAtMs);
    // The first call extended no lease, as the worker's clock was unknown. The next one follows at once.
    if (isFirstReply) return 0;
    // The record after which a lease may be granted is being appended.
    if (this.options.isLeaseWithheld()) return limits.holdGapMs;
    // A run end without a readable number is listed, and ends the wait of each call, until a later one is
    // acknowledged.
    if (reply.ended.length === 0 && reply.unreadableRows === 0) return 0;
    // While the process is busy, a longer pause lets one call return more run ends.
    return limits.holdGapMs + limits.holdDelayFactor * this.options.loopDelayMs();
  }
}
