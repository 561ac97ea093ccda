import type { JournalState } from './journal-state.js';

/** Creates the state as it is before the first record. */
export function createState(): JournalState {
  return {
    jobs: new Map(),
    taskJobs: new Map(),
    jobKeys: new Map(),
    delegatedJobKeys: new Map(),
    keys: new Map(),
    armed: new Map(),
    openPeriods: new Map(),
    openPeriod: '',
    closedPeriods: [],
    counted: new Map(),
    elapsedMs: 0,
    termStartMs: 0,
    nextJobNumber: 1,
    endedJobs: new Set(),
    endedKeyedJobs: new Set(),
    doneKeys: new Set(),
    keysWithBody: new Set(),
    bodyBytes: 0,
    ignoredEntries: 0,
  };
}
