import type { PoolRunner } from '@acaciahoist/slot-pool/pool-runner';
import type { ServiceJob } from '@acaciahoist/partition-owner/service-job';
import type { PartitionWorker } from '@acaciahoist/partition-owner/partition-worker';
import type { Declaration } from '@acaciahoist/types/declaration';

/** The declaration in force, with the runners, workers and services that belong to one partition. */
export interface PartitionInputs {
  declaration: Declaration;
  runners: readonly PoolRunner[];
  workers: readonly PartitionWorker[];
  services: readonly ServiceJob[];
}
