import type { Journal } from './journal.js';

/** Returns the counts and offsets of a journal for the state dump. */
export function describeJournal(journal: Journal): Record<string, number | boolean> {
  const state = journal.state();
  return {
    nextOffset: journal.nextOffset(),
    hasState: journal.hasState(),
    lastSnapshot: journal.lastSnapshot(),
    entriesSinceSnapshot: journal.entriesSinceSnapshot(),
    malformedRecords: journal.malformedRecords(),
    ignoredEntries: state.ignoredEntries,
    jobs: state.jobs.size,
    keys: state.keys.size,
    armed: state.armed.size,
    closedPeriods: state.closedPeriods.length,
  };
}
