import type { LogLevel } from './log-level.js';
import type { Resources } from './resources.js';

/** Settings of the process that simulates the platform. */
export interface StandInSettings {
  role: 'stand-in';
  /** `ip:port` of the log and the VM list; workers and runners use the ports after it. */
  listen: string;
  log: { level: LogLevel };
  dataCentres: readonly { name: string }[];
  /** Number of runners in each data centre. */
  runnersPerDataCentre: number;
  workersPerDataCentre: number;
  workersPerRack: number;
  /** Entry processes shown in the VM list. */
  entries: readonly { address: string; dataCentre: string }[];
  /** Services that every runner serves. */
  services: readonly string[];
  workerResources: Resources;
  slotsPerRunner: number;
  /** Time that a runner takes for one request. */
  serviceMs: number;
  appendsPerSecond: number;
  retentionMs: number;
  /** Age of the VM list when it is read. */
  vmListLagMs: number;
  /** Age of the usage and task states when a worker reports them. */
  usageLagMs: number;
  /** Seed of the random numbers. */
  seed: number;
}
