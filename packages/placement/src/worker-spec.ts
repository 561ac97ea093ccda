import type { Resources } from '@acaciahoist/types/resources';

/** Address, location and capacity of a worker. */
export interface WorkerSpec {
  /** `ip:port` */
  address: string;
  rack: string;
  dataCentre: string;
  region: string;
  resources: Resources;
}
