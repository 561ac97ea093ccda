import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import { applyJobEntry } from './apply-job-entry.js';
import { applyKeyEntry } from './apply-key-entry.js';
import { closePeriod } from './close-period.js';
import { countOutcome } from './count-outcome.js';
import type { JournalPolicy } from './journal-policy.js';
import type { JournalState } from './journal-state.js';
import { pruneState } from './prune-state.js';

/**
 * Adds the counts of a process to the account. Returns false when the sequence number is not above
 * the last applied one of the process incarnation.
 */
function countRequests(
  state: JournalState,
  policy: JournalPolicy,
  entry: JournalEntry & { type: 'requests-counted' },
): boolean {
  const incarnationKey = `${entry.process} ${entry.incarnation}`;
  if (entry.sequence <= (state.counted.get(incarnationKey)?.sequence ?? -1)) return false;
  // Deleting the item first moves it to the end: pruning needs the items in order of time.
  state.counted.delete(incarnationKey);
  const { sequence, atMs } = entry;
  state.counted.set(incarnationKey, { sequence, atMs, keptSinceMs: state.elapsedMs });
  for (const { user, team, outcome, count, waitMs } of entry.rows) {
    const row = { user, team, outcome, count, waitMs: Math.round(waitMs) };
    countOutcome(state, policy, entry.atMs, { ...row, millicoreMs: 0n, mibMs: 0n });
  }
  return true;
}

/** Applies an entry by its type. Returns false when it has no effect. */
function dispatchEntry(state: JournalState, policy: JournalPolicy, entry: JournalEntry): boolean {
  switch (entry.type) {
    case 'key-claimed':
    case 'key-done':
    case 'key-expired':
    case 'job-key-delegated':
      return applyKeyEntry(state, policy, entry);
    case 'requests-counted':
      return countRequests(state, policy, entry);
    case 'period-closed':
      return closePeriod(state, policy, entry.period, entry.atMs);
    default:
      return applyJobEntry(state, policy, entry);
  }
}

/**
 * Applies one entry, in O(1) except for closing a period. An entry that is repeated, or that names
 * an unknown job, task or key, has no effect except that it is counted in `ignoredEntries`: the
 * first outcome stands.
 */
export function applyEntry(state: JournalState, policy: JournalPolicy, entry: JournalEntry): void {
  if (!dispatchEntry(state, policy, entry)) state.ignoredEntries += 1;
  pruneState(state);
}
