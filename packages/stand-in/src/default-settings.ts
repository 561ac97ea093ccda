import { SystemClock } from '@acaciahoist/clock/system-clock';
import type { Settings } from './settings.js';

/**
 * Creates the default settings: one data centre of the size that the user Cápsula has, without random
 * deviations from declared sizes and run times.
 */
export function defaultSettings(): Settings {
  return {
    clock: SystemClock.create(),
    seed: 1,
    host: '127.0.0.1',
    firstPort: 0,
    dataCentres: ['dc1'],
    log: {
      appendsPerSecond: 400,
      burst: 40,
      retentionMs: 600_000,
      retentionRecords: 100_000,
      maxRecordBytes: 32 * 1024 * 1024,
    },
    vmList: { lagMs: 2_000 },
    workers: {
      count: 30,
      perRack: 6,
      resources: { millicores: 32_000, memoryMib: 65_536, accelerators: {} },
      accelerated: { count: 0, accelerators: {} },
      usageLagMs: 1_000,
      repeatedReports: 0,
      reorderedReports: 0,
      sizeFactor: [1, 1],
      runFactor: [1, 1],
      failingJobs: 0,
      reportEndedMs: 30_000,
      keepEndedMs: 7_200_000,
    },
    runners: {
      count: 30,
      slots: 8,
      maxConnections: 60,
      services: ['default'],
      serviceMs: { '*': 10 },
    },
    historyEvents: 200_000,
  };
}
