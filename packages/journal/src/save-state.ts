import type { JournalState } from './journal-state.js';

/**
 * Converts the state to plain data for a snapshot. The order of items is kept, because pruning
 * depends on it.
 */
export function saveState(state: JournalState): Record<string, unknown> {
  return {
    version: 1,
    jobs: [...state.jobs.values()].map((job) => ({
      ...job,
      tasks: [...job.tasks.values()],
      endedTasks: [...job.endedTasks],
    })),
    delegatedJobKeys: [...state.delegatedJobKeys.values()],
    keys: [...state.keys.values()],
    armed: [...state.armed.values()],
    openPeriods: [...state.openPeriods].map(([period, rows]) => [period, [...rows]]),
    openPeriod: state.openPeriod,
    closedPeriods: state.closedPeriods,
    counted: [...state.counted],
    elapsedMs: state.elapsedMs,
    termStartMs: state.termStartMs,
    nextJobNumber: state.nextJobNumber,
    endedJobs: [...state.endedJobs],
    endedKeyedJobs: [...state.endedKeyedJobs],
    doneKeys: [...state.doneKeys],
    keysWithBody: [...state.keysWithBody],
    bodyBytes: state.bodyBytes,
    ignoredEntries: state.ignoredEntries,
  };
}
