/** One measured point of the capacity bench; all rates are those of the only entry process. */
export interface CapacityPoint {
  /** Name of the size that was varied, and its requested value. */
  slope: string;
  size: number;
  repetition: number;
  /** Measured on the platform, because submitted tasks may still be waiting. */
  runningTasks: number;
  startsPerSecond: number;
  cpuPercent: number;
  /** Bytes read and written by the process a second: log, workers, VM list. */
  bytesPerSecond: number;
  rssMib: number;
  appendsPerSecond: number;
  /** Sum over the snapshots of all partitions at the end of the measurement. */
  snapshotBytes: number;
  /** Bytes appended to the journals divided by the starts; 0 without a start. */
  journalBytesPerStart: number;
  loadAverage: number;
}
