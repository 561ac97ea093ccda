import type { Resources } from '@acaciahoist/types/resources';

/** Address, location and capacity of a worker. */
export interface WorkerSpec {
  /** `ip:port` */
  address: string;
  rack: string;
  dataCentre: string;
  region: string;
  /** Null while the capacity is unknown: the worker then keeps its tasks and gets no others. */
  resources: Resources | null;
}
