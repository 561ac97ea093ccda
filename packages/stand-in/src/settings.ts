import type { Clock } from '@acaciahoist/clock';
import type { Resources } from '@acaciahoist/types/resources';

/** Settings of the simulated platform. Every field has a default, see `defaultSettings`. */
export interface Settings {
  clock: Clock;
  /** Seed of the random choices: report order, task sizes, run times and failing jobs. */
  seed: number;
  /** IPv4 address on which all members listen. */
  host: string;
  /**
   * Port of the log; the other members use the ports after it. 0 lets the system choose every port.
   * Fixed ports should lie below 32768, because Linux gives outgoing connections ports from 32768
   * on.
   */
  firstPort: number;
  /** Names of the data centres, over which workers and runners are distributed in turn. */
  dataCentres: readonly string[];
  log: LogSettings;
  /** `lagMs` is the time after which the VM list shows a change. */
  vmList: { lagMs: number };
  workers: WorkerSettings;
  runners: RunnerSettings;
  /** Number of events that are kept in memory for `GET /history`. */
  historyEvents: number;
}

interface LogSettings {
  /** Appends per second over all streams. */
  appendsPerSecond: number;
  /** Number of appends that are accepted at once after a time without appends. */
  burst: number;
  /** Age at which a record is removed. */
  retentionMs: number;
  /** Number of records that are kept per stream. */
  retentionRecords: number;
  maxRecordBytes: number;
}

interface WorkerSettings {
  count: number;
  /** Workers, and likewise runners, in each rack. */
  perRack: number;
  /** Capacity of each worker. */
  resources: Resources;
  /** The first `count` workers of each data centre have these accelerators. */
  accelerated: { count: number; accelerators: Readonly<Record<string, number>> };
  /** Age of the state that usage reports show. */
  usageLagMs: number;
  /** Share of usage reports that repeat the report before. */
  repeatedReports: number;
  /** Share of usage reports that are an older report, sent again after a newer one. */
  reorderedReports: number;
  /** Actual size divided by declared size; drawn between these two bounds for each task. */
  sizeFactor: readonly [number, number];
  /** Actual run time divided by declared run time; drawn between these two bounds for each task. */
  runFactor: readonly [number, number];
  /** Share of jobs whose tasks fail on every worker. */
  failingJobs: number;
  /** Time for which usage reports list a task after its end. */
  reportEndedMs: number;
  /** Time for which a worker retains ended tasks. */
  keepEndedMs: number;
}

interface RunnerSettings {
  count: number;
  /** Requests that a runner can serve at a time; more are served too, but recorded as oversold. */
  slots: number;
  maxConnections: number;
  /** Services that the VM list shows for each runner. */
  services: readonly string[];
  /** Service time by service; `*` stands for all other services. */
  serviceMs: Readonly<Record<string, number>>;
}
