import type { JournalState } from './journal-state.js';

/**
 * Removes an idempotency key. Returns false, and keeps the key, when it has no outcome: removing it
 * would permit a second execution of the request while the first may still be running.
 */
export function dropKey(state: JournalState, key: string): boolean {
  const journalKey = state.keys.get(key);
  if (journalKey === undefined || journalKey.outcome === null) return false;
  state.keys.delete(key);
  state.doneKeys.delete(key);
  if (state.keysWithBody.delete(key)) state.bodyBytes -= journalKey.reply?.body?.length ?? 0;
  return true;
}
