import type { PoolRunner } from '@acaciahoist/slot-pool/pool-runner';
import type { ServiceJob } from '@acaciahoist/partition-owner/service-job';
import type { WorkerEntry } from '@acaciahoist/partition-owner/worker-entry';
import type { Declaration } from '@acaciahoist/types/declaration';

/** The declaration in force, and the runners, workers and services of one partition by it and the VM list. */
export interface PartitionInputs {
  declaration: Declaration;
  runners: readonly PoolRunner[];
  workers: readonly WorkerEntry[];
  services: readonly ServiceJob[];
}
