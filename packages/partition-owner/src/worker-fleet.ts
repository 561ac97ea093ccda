import type { Clock } from '@acaciahoist/clock';
import type { WorkerClient } from '@acaciahoist/types/worker-client';
import type { WorkerReport } from '@acaciahoist/types/worker-report';
import { WorkerSession } from './worker-session.js';

/** Shortest time between two calls of an owner: 10 usage calls per second at 0.45 ms take 0.45% of a core. */
const CALL_SPACING_MS = 100;

interface Options {
  clock: Clock;
  client: WorkerClient;
  taskLeaseMs: number;
  callIntervalMs: number;
  predecessorRenewalsUntilMs: number;
  findToken: () => number | undefined;
  onFenced: (address: string, report: WorkerReport) => void;
  onReport: (address: string, report: WorkerReport) => void;
  onSuspect: (address: string) => void;
  onExpired: (address: string) => void;
}

/** Sessions with the workers of one partition. Their periodic calls are spread over the interval. */
export class WorkerFleet {
  static create(options: Options): WorkerFleet {
    return new WorkerFleet(options);
  }

  private readonly sessions = new Map<string, WorkerSession>();
  private readonly cancelTimers = new Map<string, () => void>();
  private isStopped = false;

  private constructor(private readonly options: Options) {}

  /** Adds a worker and fences it at once. Has no effect on a worker that was added before. */
  add(address: string): void {
    if (this.sessions.has(address) || this.isStopped) return;
    const session = WorkerSession.create({ ...this.options, address });
    this.sessions.set(address, session);
    void session.fence();
    // The first call follows after half an interval to a whole one, in 16 steps, so that workers that are
    // added at the same time are not called at the same time.
    const phase = (this.sessions.size % 16) / 16;
    this.scheduleMaintenance(address, this.options.callIntervalMs * (0.5 + phase / 2));
  }

  remove(address: string): void {
    this.cancelTimers.get(address)?.();
    this.cancelTimers.delete(address);
    this.sessions.get(address)?.stop();
    this.sessions.delete(address);
  }

  find(address: string): WorkerSession | undefined {
    return this.sessions.get(address);
  }

  stop(): void {
    this.isStopped = true;
    for (const address of [...this.sessions.keys()]) this.remove(address);
  }

  describe(): readonly Record<string, unknown>[] {
    return [...this.sessions.values()].map((session) => session.describe());
  }

  /**
   * Returns the time between two calls to a worker. It grows with the number of workers, so that the call
   * rate of the owner stays bounded.
   */
  private computeIntervalMs(): number {
    return Math.max(this.options.callIntervalMs, this.sessions.size * CALL_SPACING_MS);
  }

  private scheduleMaintenance(address: string, delayMs: number): void {
    const cancel = this.options.clock.after(delayMs, () => {
      void this.maintain(address);
    });
    this.cancelTimers.set(address, cancel);
  }

  private async maintain(address: string): Promise<void> {
    await this.sessions.get(address)?.maintain();
    if (!this.sessions.has(address) || this.isStopped) return;
    this.scheduleMaintenance(address, this.computeIntervalMs());
  }
}
