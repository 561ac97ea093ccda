import { dropKey } from './drop-key.js';
import { JournalLimits } from './journal-limits.js';
import type { JournalState } from './journal-state.js';

/** Calls `prune` for the oldest items, at most `prunedPerEntry`, until it returns false. */
function pruneOldest(items: Iterable<string>, prune: (item: string) => boolean): void {
  let remaining: number = JournalLimits.prunedPerEntry;
  for (const item of items) {
    if (remaining === 0 || !prune(item)) return;
    remaining -= 1;
  }
}

function dropJob(state: JournalState, jobId: string, endedJobs: Set<string>): boolean {
  const job = state.jobs.get(jobId);
  endedJobs.delete(jobId);
  state.jobs.delete(jobId);
  for (const taskId of job?.tasks.keys() ?? []) state.taskJobs.delete(taskId);
  const key = job?.spec.key;
  if (key !== undefined) state.jobKeys.delete(key);
  return true;
}

function pruneJobs(state: JournalState, endedJobs: Set<string>, maxCount: number, atMs: number): void {
  pruneOldest(endedJobs, (jobId) => {
    const endedAtMs = state.jobs.get(jobId)?.endedAtMs ?? 0;
    if (atMs - endedAtMs < JournalLimits.endedJobLifetimeMs && endedJobs.size <= maxCount) return false;
    return dropJob(state, jobId, endedJobs);
  });
}

/**
 * Removes ended jobs, keys, delegated job keys and request counts that are too old or exceed their
 * largest number. `atMs` is the time of the entry being applied, so that every reader removes the
 * same items.
 */
export function pruneState(state: JournalState, atMs: number): void {
  pruneJobs(state, state.endedJobs, JournalLimits.endedJobs, atMs);
  pruneJobs(state, state.endedKeyedJobs, Infinity, atMs);
  pruneOldest(state.doneKeys, (key) => {
    const doneAtMs = state.keys.get(key)?.doneAtMs ?? 0;
    return atMs - doneAtMs >= JournalLimits.keyLifetimeMs && dropKey(state, key);
  });
  pruneOldest(state.delegatedJobKeys.keys(), (key) => {
    const delegatedAtMs = state.delegatedJobKeys.get(key)?.atMs ?? 0;
    const isExpired = atMs - delegatedAtMs >= JournalLimits.delegatedJobKeyLifetimeMs;
    return isExpired && state.delegatedJobKeys.delete(key);
  });
  pruneOldest(state.counted.keys(), (incarnationKey) => {
    const countedAtMs = state.counted.get(incarnationKey)?.atMs ?? 0;
    const isExpired = atMs - countedAtMs >= JournalLimits.requestCountLifetimeMs;
    if (!isExpired && state.counted.size <= JournalLimits.requestCountIncarnations) return false;
    return state.counted.delete(incarnationKey);
  });
}
