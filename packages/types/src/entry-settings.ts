import type { LogLevel } from './log-level.js';
import type { TokenGrant } from './token-grant.js';

/** Settings of one entry process. Section 2 of docs/design.md explains the durations and limits. */
export interface EntrySettings {
  role: 'entry';
  /** `ip:port` for callers. */
  listen: string;
  /** `ip:port` for other entry processes; it is also the name of the process. */
  peerListen: string;
  dataCentre: string;
  region: string;
  platform: { logUrl: string; vmListUrl: string };
  /** `peerListen` addresses to contact first; the address of the process itself may be among them. */
  seeds: readonly string[];
  tokens: readonly TokenGrant[];
  /** Target of statsd packets; absent when no metrics are sent. */
  metrics?: { host: string; port: number; prefix: string };
  log: { level: LogLevel };

  /** Duration of the lease of a partition owner, counted from the time at which an append is sent. */
  leaseMs: number;
  /** Time without an append after which an owner renews its lease. */
  renewMs: number;
  /** Time after the last acknowledged record for which an owner without a lease keeps serving requests. */
  holdMs: number;
  /** Share of the slots of a runner that an owner without a lease may use. */
  heldSlotsPercent: number;
  /** True when a refused connection to the address of a former owner proves that its process has exited. */
  refusalProvesExit: boolean;
  /** Time before the start time of a job at which its workers are selected and recorded. */
  armBeforeMs: number;
  /** Duration of the lease of a task at its worker. */
  taskLeaseMs: number;
  /** Time for which the platform keeps log records. */
  retentionMs: number;
  /** Number of journal entries after which a snapshot is written. */
  snapshotEntries: number;
  /** Append rate of all entry processes together. */
  appendsPerSecond: number;
  /** Shortest time between two appends for one partition. */
  minCommitIntervalMs: number;
  /** Interval of heartbeats within a data centre. */
  heartbeatMs: number;
  /** Interval of digests to processes of other data centres. */
  digestMs: number;
  /** Interval of probes of a persistent connection. */
  probeMs: number;
  /** Time without a reply to a probe after which a connection is replaced. */
  probeTimeoutMs: number;
  /** Time from reporting "not ready" to refusing new requests in a planned stop. */
  drainDelayMs: number;

  /** Requests that a runner serves at the same time. */
  slotsPerRunner: number;
  /** Longest queue of `prompt` requests. */
  promptQueueRequests: number;
  /** Longest queue of `heavy` requests. */
  heavyQueueRequests: number;
  /** Connections of callers that are open at the same time. */
  maxConnections: number;
  maxBodyBytes: number;
}
