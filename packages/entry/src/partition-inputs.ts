import type { PoolRunner } from '@acaciahoist/slot-pool/pool-runner';
import type { ServiceJob } from '@acaciahoist/partition-owner/service-job';
import type { WorkerEntry } from '@acaciahoist/partition-owner/worker-entry';
import type { Declaration } from '@acaciahoist/types/declaration';

/** The declaration in force, with the runners, workers and services that belong to one partition. */
export interface PartitionInputs {
  declaration: Declaration;
  runners: readonly PoolRunner[];
  workers: readonly WorkerEntry[];
  services: readonly ServiceJob[];
}
