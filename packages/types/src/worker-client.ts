import type { Result } from 'true-myth/result';
import type { Failure } from '@acaciahoist/errors';
import type { Offset } from './offset.js';
import type { TaskStart } from './task-start.js';
import type { WorkerReport } from './worker-report.js';

/** Calls to one worker. A call that fails with `outcome-unknown` may have taken effect. */
export interface WorkerClient {
  /** Makes the worker refuse calls with lower tokens; returns its usage and task states. */
  fence(worker: string, token: Offset): Promise<Result<WorkerReport, Failure>>;
  /** Starts tasks. The result `known` means that the worker already has a task with this id. */
  start(
    worker: string,
    token: Offset,
    starts: readonly TaskStart[],
  ): Promise<
    Result<
      readonly { taskId: string; result: 'started' | 'known' | 'refused'; reason: string }[],
      Failure
    >
  >;
  /** Renews the leases of tasks for `leaseMs`. */
  renew(
    worker: string,
    token: Offset,
    taskIds: readonly string[],
    leaseMs: number,
  ): Promise<Result<void, Failure>>;
  /** Stops, checkpoints or throttles running tasks. */
  sendActions(
    worker: string,
    token: Offset,
    actions: readonly { taskId: string; action: 'stop' | 'checkpoint' | 'throttle' }[],
  ): Promise<Result<void, Failure>>;
  /** Reads the usage and task states. */
  readReport(worker: string): Promise<Result<WorkerReport, Failure>>;
}
