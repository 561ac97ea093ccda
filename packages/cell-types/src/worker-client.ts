import type { HoldReply } from './hold-reply.js';
import type { PaceReply } from './pace-reply.js';
import type { StartOrder } from './start-order.js';
import type { StartReply } from './start-reply.js';
import type { StopReply } from './stop-reply.js';

/**
 * Calls to one worker. Every call returns within its timeout; a hold call, within `waitMs` more.
 */
export interface WorkerClient {
  /** Starts a run. */
  start(order: StartOrder, timeoutMs: number): Promise<StartReply>;
  /**
   * Stops a run. The result is `confirmed` when the run is being stopped, or when its start has not
   * arrived yet and will be refused.
   */
  stop(task: string, run: number, token: number, timeoutMs: number): Promise<StopReply>;
  /** Limits a best-effort task to this share of its work, 0 to 100, until the next pace call. */
  pace(
    task: string,
    run: number,
    percent: number,
    token: number,
    timeoutMs: number,
  ): Promise<PaceReply>;
  /**
   * Extends the lease to `leaseUntilMs` on the worker's clock (0 leaves it unchanged), acknowledges
   * run ends up to the number `acknowledgedEnd`, and waits up to `waitMs` for another run end.
   */
  hold(call: {
    token: number;
    leaseUntilMs: number;
    acknowledgedEnd: number;
    waitMs: number;
    timeoutMs: number;
  }): Promise<HoldReply>;
  /** Ends outstanding calls and closes the connections. */
  close(): void;
}
