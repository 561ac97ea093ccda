/**
 * What a worker has published about itself. An entry is only a hint: it may be late, missing or from
 * an earlier incarnation.
 */
export interface WorkerEntry {
  id: string;
  /** Unix time in ms at which the worker started; distinguishes its incarnations. */
  born: number;
  service: string;
  /** `ip:port` */
  address: string;
  dataCentre: string;
  draining: boolean;
  /** Minimum time in ms until a draining worker leaves; 0 when unknown. */
  leavesInMs: number;
  millicores: number;
  memoryMib: number;
  accelerators: number;
  /** Rack of the worker; empty when unknown. */
  rack: string;
  /** Labels that a step may require. */
  labels: readonly string[];
}
