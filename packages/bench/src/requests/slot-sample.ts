/** Figures of one system under one workload. */
export interface SlotSample {
  system: string;
  requests: number;
  refused: number;
  /** Share of all slot time in use, from the end of the warm-up to the last arrival. */
  utilization: number;
  /** Time from arrival to answer minus the service time, ms. */
  addedP50Ms: number;
  addedP99Ms: number;
  /** Time from arrival to answer of prompt requests, ms. */
  promptP99Ms: number;
  /** Largest number of requests at one runner at once. */
  mostAtRunner: number;
  /** Real time of the whole run, simulation included, divided by the number of requests, µs. */
  machineMicrosPerRequest: number;
}
