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

/** Returns the time of the partition since the item was finished. */
function findAgeMs(state: JournalState, item: { keptSinceMs?: number } | undefined): number {
  return state.elapsedMs - (item?.keptSinceMs ?? 0);
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

function pruneJobs(state: JournalState, endedJobs: Set<string>, maxCount: number): void {
  pruneOldest(endedJobs, (jobId) => {
    const ageMs = findAgeMs(state, state.jobs.get(jobId));
    if (ageMs < JournalLimits.endedJobLifetimeMs && endedJobs.size <= maxCount) return false;
    return dropJob(state, jobId, endedJobs);
  });
}

/**
 * Removes ended jobs, keys, delegated job keys and request counts that are too old or exceed their
 * largest number. Ages are times of the partition: a wall clock that is ahead would remove items early,
 * and the records alone make every reader remove the same items.
 */
export function pruneState(state: JournalState): void {
  pruneJobs(state, state.endedJobs, JournalLimits.endedJobs);
  pruneJobs(state, state.endedKeyedJobs, Infinity);
  pruneOldest(state.doneKeys, (key) => {
    const ageMs = findAgeMs(state, state.keys.get(key));
    return ageMs >= JournalLimits.keyLifetimeMs && dropKey(state, key);
  });
  pruneOldest(state.delegatedJobKeys.keys(), (key) => {
    const ageMs = findAgeMs(state, state.delegatedJobKeys.get(key));
    const isExpired = ageMs >= JournalLimits.delegatedJobKeyLifetimeMs;
    return isExpired && state.delegatedJobKeys.delete(key);
  });
  pruneOldest(state.counted.keys(), (incarnationKey) => {
    const ageMs = findAgeMs(state, state.counted.get(incarnationKey));
    const isExpired = ageMs >= JournalLimits.requestCountLifetimeMs;
    if (!isExpired && state.counted.size <= JournalLimits.requestCountIncarnations) return false;
    return state.counted.delete(incarnationKey);
  });
}
