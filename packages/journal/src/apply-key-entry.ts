import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import type { RecordedReply } from '@acaciahoist/types/recorded-reply';
import { countOutcome } from './count-outcome.js';
import { dropKey } from './drop-key.js';
import { JournalLimits } from './journal-limits.js';
import type { JournalPolicy } from './journal-policy.js';
import type { JournalState } from './journal-state.js';

type Entry<Type extends JournalEntry['type']> = JournalEntry & { type: Type };

function claimKey(state: JournalState, entry: Entry<'key-claimed'>): boolean {
  const existing = state.keys.get(entry.key);
  // A refused request was never sent to the service, so the same request may be tried again.
  const mayClaim =
    existing === undefined ||
    (existing.outcome === 'refused' && existing.requestDigest === entry.requestDigest);
  if (!mayClaim) return false;
  if (existing !== undefined) dropKey(state, entry.key);
  const { key, requestDigest, service, user, team, atMs } = entry;
  state.keys.set(key, {
    key,
    requestDigest,
    service,
    user,
    team,
    claimedAtMs: atMs,
    outcome: null,
    reply: null,
    doneAtMs: null,
  });
  return true;
}

/**
 * Returns the reply in the form that is stored with the key: without the body when the body is too
 * large. A body that is kept is added to the sum of bodies, and the oldest bodies are dropped until
 * the sum is within the limit.
 */
function storeBody(state: JournalState, key: string, reply: RecordedReply): RecordedReply {
  const size = reply.body?.length ?? 0;
  if (size > JournalLimits.replyBytes) return { ...reply, body: null };
  if (reply.body === null) return reply;
  state.keysWithBody.add(key);
  state.bodyBytes += size;
  for (const oldestKey of state.keysWithBody) {
    if (state.bodyBytes <= JournalLimits.allReplyBytes) break;
    const journalKey = state.keys.get(oldestKey);
    state.keysWithBody.delete(oldestKey);
    state.bodyBytes -= journalKey?.reply?.body?.length ?? 0;
    if (journalKey?.reply) journalKey.reply = { ...journalKey.reply, body: null };
  }
  return reply;
}

function finishKey(state: JournalState, policy: JournalPolicy, entry: Entry<'key-done'>): boolean {
  const journalKey = state.keys.get(entry.key);
  if (journalKey?.outcome !== null) return false;
  journalKey.outcome = entry.outcome;
  journalKey.doneAtMs = entry.atMs;
  journalKey.keptSinceMs = state.elapsedMs;
  journalKey.reply = entry.reply === null ? null : storeBody(state, entry.key, entry.reply);
  state.doneKeys.add(entry.key);
  const { user, team } = journalKey;
  const { outcome, atMs } = entry;
  const row = { user, team, outcome, count: 1, waitMs: 0, millicoreMs: 0n, mibMs: 0n };
  countOutcome(state, policy, atMs, row);
  return true;
}

/**
 * Records that another partition accepts the job with this key. Returns false when the key already
 * belongs to a job of this partition or is delegated: the first decision about a key stands.
 */
function delegateJobKey(state: JournalState, entry: Entry<'job-key-delegated'>): boolean {
  const { key, specDigest, partition, atMs } = entry;
  if (state.jobKeys.has(key) || state.delegatedJobKeys.has(key)) return false;
  const keptSinceMs = state.elapsedMs;
  state.delegatedJobKeys.set(key, { key, specDigest, partition, atMs, keptSinceMs });
  return true;
}

/** Applies an entry about a key. Returns false when it has no effect. */
export function applyKeyEntry(
  state: JournalState,
  policy: JournalPolicy,
  entry: Entry<'key-claimed' | 'key-done' | 'key-expired' | 'job-key-delegated'>,
): boolean {
  switch (entry.type) {
    case 'key-claimed':
      return claimKey(state, entry);
    case 'key-done':
      return finishKey(state, policy, entry);
    case 'key-expired':
      return dropKey(state, entry.key);
    case 'job-key-delegated':
      return delegateJobKey(state, entry);
  }
}
