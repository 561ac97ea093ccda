import type { Resources } from '@acaciahoist/types/resources';

/** A worker of the partition as listed by the platform. */
export interface PartitionWorker {
  address: string;
  rack: string;
  dataCentre: string;
  region: string;
  resources: Resources;
  leaving: boolean;
}
