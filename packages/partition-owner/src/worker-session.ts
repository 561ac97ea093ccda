import type Result from 'true-myth/result';
import { createActor, type Actor } from 'xstate';
import type { Clock } from '@acaciahoist/clock';
import type { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import type { TaskStart } from '@acaciahoist/types/task-start';
import type { WorkerClient } from '@acaciahoist/types/worker-client';
import type { WorkerReport } from '@acaciahoist/types/worker-report';
import { workerLease } from './worker-lease.js';
import { reachabilityMachine } from './reachability-machine.js';

type StartResults = Awaited<ReturnType<WorkerClient['start']>>;

/** Renewals in the duration of a lease; two of them may be lost before the lease expires. */
const RENEWALS_PER_LEASE = 4;

interface Options {
  clock: Clock;
  client: WorkerClient;
  address: string;
  taskLeaseMs: number;
  /**
   * Returns the fencing token, or undefined while this process may not call workers. Called before each
   * send.
   */
  findToken: () => number | undefined;
  /**
   * Monotonic time until which a predecessor may have renewed leases at the worker. If the worker never
   * answers, its tasks have ended once a lease renewed at this time has certainly expired.
   */
  predecessorRenewalsUntilMs: number;
  /** Called with the current report that answers a fence call. */
  onFenced: (address: string, report: WorkerReport) => void;
  /** Called with a report that may be late or repeated. */
  onReport: (address: string, report: WorkerReport) => void;
  /** Called when the worker has stopped answering. It gets no starts until the next `onFenced`. */
  onSuspect: (address: string) => void;
  /** Called when every lease at the worker has certainly expired. */
  onExpired: (address: string) => void;
}

/** Session of the owner with one worker: fencing, lease renewal, usage reports and reachability. */
export class WorkerSession {
  static create(options: Options): WorkerSession {
    return new WorkerSession(options);
  }

  private readonly machine: Actor<typeof reachabilityMachine>;
  private readonly taskIds = new Set<string>();
  /** Monotonic time of the last reply of the worker. */
  private lastReplyAtMs: number;
  /** Monotonic time of the last send, by this owner or a predecessor, that can have extended a lease. */
  private lastRenewalAtMs: number;
  private isFencing = false;
  /** Monotonic time at which the last renew call, which renews all tasks of the worker, was sent. */
  private lastRenewCallAtMs = -Infinity;
  /** Incarnation of the worker in its last reply to a fence call. */
  incarnation = '';

  private constructor(private readonly options: Options) {
    this.machine = createActor(reachabilityMachine).start();
    this.lastReplyAtMs = options.clock.monotonicMs();
    this.lastRenewalAtMs = options.predecessorRenewalsUntilMs;
  }

  get state(): string {
    return this.machine.getSnapshot().value as string;
  }

  get isReady(): boolean {
    return this.state === 'ready';
  }

  addTask(taskId: string): void {
    this.taskIds.add(taskId);
  }

  removeTask(taskId: string): void {
    this.taskIds.delete(taskId);
  }

  /**
   * Makes the periodic calls: fences a worker that is not ready, or renews its leases and reads its
   * usage.
   */
  async maintain(): Promise<void> {
    if (!this.isReady) {
      this.checkExpiry();
      await this.fence();
      return;
    }
    const isOverdue =
      this.options.clock.monotonicMs() - this.lastReplyAtMs > this.options.taskLeaseMs;
    if (isOverdue) {
      this.machine.send({ type: 'SILENT' });
      this.options.onSuspect(this.options.address);
      return;
    }
    await this.renew();
    await this.readUsage();
  }

  /** Fences the worker with the current token and reads its tasks. */
  async fence(): Promise<void> {
    const token = this.options.findToken();
    if (token === undefined || this.isFencing) return;
    this.isFencing = true;
    const report = await this.options.client.fence(this.options.address, token);
    this.isFencing = false;
    if (report.isErr) return;
    this.lastReplyAtMs = this.options.clock.monotonicMs();
    this.incarnation = report.value.incarnation;
    this.machine.send({ type: 'FENCED' });
    this.options.onFenced(this.options.address, report.value);
  }

  /** Sends starts. Their leases count from before the send. Returns undefined when nothing was sent. */
  async sendStarts(starts: readonly TaskStart[]): Promise<StartResults | undefined> {
    const token = this.options.findToken();
    if (token === undefined || !this.isReady) return undefined;
    this.lastRenewalAtMs = Math.max(this.lastRenewalAtMs, this.options.clock.monotonicMs());
    for (const start of starts) this.addTask(start.taskId);
    const results = await this.options.client.start(this.options.address, token, starts);
    this.recordReply(results);
    return results;
  }

  async sendActions(actions: Parameters<WorkerClient['sendActions']>[2]): Promise<void> {
    const token = this.options.findToken();
    if (token === undefined) return;
    this.recordReply(await this.options.client.sendActions(this.options.address, token, actions));
  }

  stop(): void {
    this.machine.stop();
  }

  describe(): Record<string, unknown> {
    return {
      worker: this.options.address,
      state: this.state,
      tasks: this.taskIds.size,
      lastAnswerAgeMs: Math.round(this.options.clock.monotonicMs() - this.lastReplyAtMs),
    };
  }

  private async renew(): Promise<void> {
    const token = this.options.findToken();
    if (token === undefined || this.taskIds.size === 0) return;
    const { clock, client, address, taskLeaseMs } = this.options;
    const nowMs = clock.monotonicMs();
    if (nowMs < this.lastRenewCallAtMs + taskLeaseMs / RENEWALS_PER_LEASE) return;
    this.lastRenewCallAtMs = nowMs;
    this.lastRenewalAtMs = Math.max(this.lastRenewalAtMs, this.options.clock.monotonicMs());
    this.recordReply(await client.renew(address, token, [...this.taskIds], taskLeaseMs));
  }

  private async readUsage(): Promise<void> {
    if (this.options.findToken() === undefined) return;
    const report = await this.options.client.readReport(this.options.address);
    this.recordReply(report);
    if (report.isErr) return;
    const hasRestarted = this.incarnation !== report.value.incarnation;
    // A report may be late; only the reply to a fence call shows for certain what a restarted worker runs.
    if (hasRestarted) await this.fence();
    else this.options.onReport(this.options.address, report.value);
  }

  private checkExpiry(): void {
    if (this.state === 'unreachable') return;
    const expiresAtMs = workerLease.computeExpiryAtMs(
      this.lastRenewalAtMs,
      this.options.taskLeaseMs,
    );
    if (this.options.clock.monotonicMs() <= expiresAtMs) return;
    this.machine.send({ type: 'EXPIRED' });
    this.taskIds.clear();
    this.options.onExpired(this.options.address);
  }

  private recordReply(result: Result<unknown, Failure>): void {
    // A worker that refuses the token has replied too; the owner reads the newer claim from the journal.
    const hasReplied = result.isOk || result.error.kind === ErrorKind.stale;
    if (hasReplied) this.lastReplyAtMs = this.options.clock.monotonicMs();
  }
}
