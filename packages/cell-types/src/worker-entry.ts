/** What a worker published about itself. A hint: it may be late, missing, or of a former life. */
export interface WorkerEntry {
  id: string;
  /** Unix ms of the worker's start; tells its lives apart. */
  born: number;
  service: string;
  /** `ip:port` */
  address: string;
  dataCentre: string;
  draining: boolean;
  /** Time in ms that a draining worker has left at least; 0 when it is not known. */
  leavesInMs: number;
  millicores: number;
  memoryMib: number;
  accelerators: number;
  /** Rack that the worker stands in; empty when it is not known. */
  rack: string;
  /** Labels that a step may ask for. */
  labels: readonly string[];
}
