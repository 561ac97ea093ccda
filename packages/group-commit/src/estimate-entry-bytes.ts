import type { JournalEntry } from '@acaciahoist/types/journal-entry';

/**
 * Estimates the size of an entry in memory and in a record, in bytes. The constants are rough sizes of the
 * fixed and repeated parts. The estimate avoids encoding an entry a second time.
 */
export function estimateEntryBytes(entry: JournalEntry): number {
  if (entry.type === 'key-done') return 512 + (entry.reply?.body?.length ?? 0);
  if (entry.type === 'job-accepted') return 1_024 + 256 * entry.spec.groups.length;
  if (entry.type === 'requests-counted') return 256 + 128 * entry.rows.length;
  return 256;
}
