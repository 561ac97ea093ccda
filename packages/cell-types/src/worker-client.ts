import type { HoldReply } from './hold-reply.js';
import type { PaceReply } from './pace-reply.js';
import type { StartOrder } from './start-order.js';
import type { StartReply } from './start-reply.js';

/** Calls to one worker. Every call ends within the time limit that it names, beyond its wait. */
export interface WorkerClient {
  start(order: StartOrder, timeoutMs: number): Promise<StartReply>;
  /** Confirmed when true: the run is being stopped, or will be refused if its start arrives later. */
  stop(task: string, run: number, token: number, timeoutMs: number): Promise<StopReply>;
  /** Lets a task do this share of its work, 0 to 100, until told otherwise. */
  pace(
    task: string,
    run: number,
    percent: number,
    token: number,
    timeoutMs: number,
  ): Promise<PaceReply>;
  /**
   * Extends the lease to `leaseUntilMs` of the worker's clock (0 to leave it), acknowledges ends up to
   * `acknowledgedEnd`, and waits up to `waitMs` for another end.
   */
  hold(call: {
    token: number;
    leaseUntilMs: number;
    acknowledgedEnd: number;
    waitMs: number;
    timeoutMs: number;
  }): Promise<HoldReply>;
  close(): void;
}

import type { StopReply } from './stop-reply.js';
