import type { Clock } from '@acaciahoist/clock';
import type { PlacementOptions } from '@acaciahoist/placement/placement-options';
import type { WorkerClient } from '@acaciahoist/types/worker-client';
import type { Ledger } from './ledger.js';

/** Dependencies and settings of a `PartitionOwner`. Times are in ms. */
export interface PartitionOwnerOptions {
  partition: string;
  clock: Clock;
  ledger: Ledger;
  workers: WorkerClient;
  placement: PlacementOptions;
  /** Time after the last renewal at which a worker stops a task. */
  taskLeaseMs: number;
  /** Time after which a worker refuses a start, counted from its send. */
  startDeadlineMs: number;
  /** Delay between a change and the planning round that it requests. */
  roundDelayMs: number;
  /** Shortest time between two periodic calls to a worker, which renew leases and read its usage. */
  callIntervalMs: number;
  /** Monotonic time until which a predecessor may have renewed leases at workers. */
  predecessorRenewalsUntilMs: number;
  /** Length of the account periods. */
  periodLength: 'day' | 'month';
  log: (event: string, fields: Readonly<Record<string, string | number>>) => void;
}
