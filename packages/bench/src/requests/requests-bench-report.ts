import type { PhaseReport } from './phase-report.js';

/** Result of the requests bench. */
export interface RequestsBenchReport {
  seed: number;
  machine: { cpus: number; model: string; node: string };
  requestsPerSecond: number;
  /** Latency of requests without a key at 80% load, minus that of direct calls. */
  addedP50Ms: number;
  addedP99Ms: number;
  /** The same for random routing without coordination. */
  randomAddedP99Ms: number;
  /** Prompt p99 without heavy load, under full heavy load, and their ratio. */
  promptP99Ms: { without: number; underHeavy: number; ratio: number; randomRatio: number };
  /** Slots in use, divided by those in use with one ideal queue in the same run. */
  slotUse: { normal: number; full: number; randomNormal: number; randomFull: number };
  appendsPerSecond: { idle: number; normal: number };
  /** Traffic of one entry process without requests: sent and received, with peers, log and platform. */
  controlBytesPerSecond: number;
  controlCpuPercent: number;
  rssMiB: { idle: number; greatest: number };
  completed: number;
  late: number;
  lost: number;
  duplicated: number;
  oversold: number;
  unknown: number;
  refused: number;
  /** Names of the targets of the design page that this run missed. */
  missed: readonly string[];
  phases: readonly PhaseReport[];
}
