import type { RequestResult } from './request-result.js';

/** Figures of one phase of the requests bench. */
export interface PhaseReport {
  name: string;
  requests: number;
  requestsPerSecond: number;
  outcomes: Readonly<Record<RequestResult['outcome'], number>>;
  /** Latency minus the run time of the service, ms, of the requests without a key. */
  overheadP50Ms: number;
  overheadP99Ms: number;
  promptP50Ms: number;
  promptP99Ms: number;
  sealingP50Ms: number;
  sealingP99Ms: number;
  /** Slots in use on average. */
  busySlots: number;
  /** How many times a runner or worker had more work than its capacity. */
  oversold: number;
  /** Requests with a key that ran more than once. */
  duplicated: number;
  /** Requests answered as completed that no runner served. */
  notServed: number;
  appendsPerSecond: number;
  /** Processor time of one entry process: mean and greatest of the processes. */
  cpuPercent: { mean: number; greatest: number };
  /** Bytes read and written by one entry process a second: mean and greatest of the processes. */
  bytesPerSecond: { mean: number; greatest: number };
  /** Bytes between entry processes a second, divided by the number of processes. */
  peerBytesPerSecond: number;
  rssMib: { mean: number; greatest: number };
  loadAverage: number;
}
