import type { Clock } from '@acaciahoist/clock';
import type { HoldReply } from '@acaciahoist/cell-types/hold-reply';
import type { WorkerClient } from '@acaciahoist/cell-types/worker-client';
import type { WorkerEntry } from '@acaciahoist/cell-types/worker-entry';
import { callLimits } from './call-limits.js';
import { limits } from './limits.js';

type Held = Extract<HoldReply, { kind: 'held' }>;

interface Options {
  clock: Clock;
  entry: WorkerEntry;
  client: WorkerClient;
  token: number;
  /** False when the owner has lost the store for too long to extend leases. */
  mayExtend: () => boolean;
  /** Delay in ms with which the process gets to its work. */
  loopDelayMs: () => number;
  onHeld: (link: WorkerLink, reply: Held, sentMs: number) => void;
  onFenced: () => void;
  /** This life of the worker is over. */
  onGone: (link: WorkerLink, reason: string) => void;
  onReachable: (link: WorkerLink, reachable: boolean, reason: string) => void;
  /** An answer of the worker met an error that no code expected. */
  onFault: (link: WorkerLink, error: unknown) => void;
}

/** The calls to one life of a worker: keeps its lease, and learns what runs there and what has ended. */
export class WorkerLink {
  static create(options: Options): WorkerLink {
    return new WorkerLink(options);
  }

  entry: WorkerEntry;
  /** Monotonic time at which a draining worker may leave; infinite while that is not known. */
  leavesAtMs = Number.POSITIVE_INFINITY;
  /** Monotonic time at which the entry was found missing; 0 while it is there. */
  missingSinceMs = 0;
  /** Monotonic time up to which the worker takes no starts. */
  pausedUntilMs = 0;
  /** True once the worker has seen this owner's token. */
  isFenced = false;
  isReachable = true;
  /** A record of this life was handed to the log and has not come back. */
  isLifeOnItsWay = false;
  /** Upper bound of the monotonic time at which all leases that this owner gave are over. */
  leaseOverMs: number;
  /** Highest number of the ends that were handed to the owner. */
  seenEnd = 0;
  /** Ends up to this number are recorded. */
  acknowledgedEnd = 0;
  /** Wait in ms of the newest hold call. */
  private waitMs: number = limits.holdWaitMs;
  private isStopped = false;
  private isLooking = false;
  private answeredMs: number;
  private clockReading: { workerMs: number; atMs: number } | undefined;

  private constructor(private readonly options: Options) {
    this.entry = options.entry;
    this.answeredMs = options.clock.monotonicMs();
    this.leaseOverMs = this.answeredMs;
  }

  get id(): string {
    return this.entry.id;
  }

  get client(): WorkerClient {
    return this.options.client;
  }

  /** Time in ms since the worker last answered. */
  silentMs(): number {
    return this.options.clock.monotonicMs() - this.answeredMs;
  }

  isStartable(): boolean {
    return (
      this.isFenced &&
      this.isReachable &&
      !this.entry.draining &&
      !this.isMissing() &&
      this.clockReading !== undefined &&
      this.silentMs() < this.silenceLimitMs &&
      this.options.clock.monotonicMs() >= this.pausedUntilMs
    );
  }

  /** True when the entry was removed and did not come back in time: the worker is gone. */
  private isMissing(): boolean {
    if (this.missingSinceMs === 0) return false;
    return this.options.clock.monotonicMs() - this.missingSinceMs > limits.missingEntryMs;
  }

  /** End of a lease that begins now, on the worker's clock; notes until when it may last. */
  grantLease(): number {
    const { clockReading } = this;
    if (clockReading === undefined || !this.options.mayExtend()) return 0;
    const sinceMs = this.options.clock.monotonicMs() - clockReading.atMs;
    const lengthMs = (sinceMs + limits.leaseMs) / (1 - limits.clockDrift);
    this.leaseOverMs = clockReading.atMs + lengthMs + limits.clockMarginMs;
    return Math.round(clockReading.workerMs + sinceMs + limits.leaseMs);
  }

  /** Keeps the worker held until `stop`. */
  async run(): Promise<void> {
    const { clock } = this.options;
    while (!this.isStopped) {
      const pauseMs = await this.holdOnce().catch((error: unknown) => {
        // The runs of this worker must not lapse because one of its answers met a fault of the program.
        this.options.onFault(this, error);
        return limits.holdRetryMs;
      });
      if (pauseMs > 0) await new Promise<void>((resolve) => clock.after(pauseMs, resolve));
    }
  }

  /** One hold call; returns the pause in ms before the next one. */
  private async holdOnce(): Promise<number> {
    const { clock, client, token, loopDelayMs } = this.options;
    const sentMs = clock.monotonicMs();
    const reply = await client.hold({
      token,
      timeoutMs: callLimits.otherMs(loopDelayMs()),
      // A worker out of reach gets no new leases: what runs there is over when the last one is.
      leaseUntilMs: this.isReachable ? this.grantLease() : 0,
      acknowledgedEnd: this.acknowledgedEnd,
      waitMs: this.clockReading === undefined || !this.isReachable ? 0 : this.nextWaitMs(),
    });
    return this.take(reply, sentMs);
  }

  /** Time in ms without an answer after which nothing is known of the worker. */
  get silenceLimitMs(): number {
    return this.waitMs + limits.silentWorkerMs;
  }

  private nextWaitMs(): number {
    const isBusy = this.options.loopDelayMs() > limits.busyDelayMs;
    this.waitMs = isBusy ? limits.busyHoldWaitMs : limits.holdWaitMs;
    return this.waitMs;
  }

  /** Looks at once beside the call that waits; for runs whose fate is not known. */
  async look(): Promise<void> {
    const { clock, client, token, loopDelayMs } = this.options;
    if (this.isLooking || this.isStopped) return;
    this.isLooking = true;
    const sentMs = clock.monotonicMs();
    const { acknowledgedEnd } = this;
    const timeoutMs = callLimits.otherMs(loopDelayMs());
    const call = { token, leaseUntilMs: 0, acknowledgedEnd, waitMs: 0, timeoutMs };
    const reply = await client.hold(call);
    this.isLooking = false;
    if (reply.kind !== 'failed') this.take(reply, sentMs);
  }

  stop(): void {
    this.isStopped = true;
    this.options.client.close();
  }

  /** Takes a reply; returns the pause in ms before the next call. */
  private take(reply: HoldReply, sentMs: number): number {
    if (this.isStopped) return 0;
    switch (reply.kind) {
      case 'held':
        return this.takeHeld(reply, sentMs);
      case 'fenced':
        this.options.onFenced();
        return limits.holdRetryMs;
      case 'gone':
        this.options.onGone(this, reply.reason);
        return 0;
      case 'failed':
        if (this.isReachable) {
          this.isReachable = false;
          this.options.onReachable(this, false, reply.reason);
        }
        return limits.holdRetryMs;
    }
  }

  private takeHeld(reply: Held, sentMs: number): number {
    const nowMs = this.options.clock.monotonicMs();
    if (reply.born !== this.entry.born) {
      this.options.onGone(this, `born ${reply.born} instead of ${this.entry.born}`);
      return 0;
    }
    const isFirst = this.clockReading === undefined;
    this.clockReading = { workerMs: reply.clockMs, atMs: nowMs };
    this.answeredMs = nowMs;
    this.isFenced = true;
    if (!this.isReachable) {
      this.isReachable = true;
      this.options.onReachable(this, true, '');
    }
    this.options.onHeld(this, reply, sentMs);
    if (isFirst) return 0;
    if (reply.ended.length === 0) return 0;
    // One look serves more ends while the process has much to do.
    return limits.holdGapMs + limits.holdDelayFactor * this.options.loopDelayMs();
  }
}
