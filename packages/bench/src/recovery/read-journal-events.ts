import type { HistoryEvent } from '@acaciahoist/history-checker/history-event';
import { Journal } from '@acaciahoist/journal';
import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import type { RecoveryCell } from './recovery-cell.js';

type Cell = Pick<RecoveryCell, 'layout' | 'standIn'>;
type KeyDone = JournalEntry & { type: 'key-done' };

/**
 * Returns the claims and outcomes of keys in the valid records of all journals, with their append times. An
 * owner may append an outcome again when the result of its append is unknown, so an equal outcome is
 * returned once until the key is claimed again.
 */
export function readJournalEvents(cell: Cell): HistoryEvent[] {
  return cell.layout.listAll().flatMap((partition) => readPartition(cell, partition));
}

function readPartition(cell: Cell, partition: string): HistoryEvent[] {
  const stream = `journal.${partition}`;
  const appendedAtMsByOffset = new Map(
    cell.standIn.history
      .ofType('append')
      .filter((event) => event.stream === stream)
      .map((event) => [event.offset, event.atMs]),
  );
  const journal = Journal.create(partition);
  const latestByKey = new Map<string, KeyDone>();
  return cell.standIn.log.readRecords(stream).records.flatMap((record) => {
    const result = journal.apply(record);
    if (result.type !== 'applied' || result.record.type !== 'commit') return [];
    const atMs = appendedAtMsByOffset.get(record.offset) ?? 0;
    return result.record.entries.flatMap((entry): HistoryEvent[] => {
      if (entry.type === 'key-claimed') {
        const { key, requestDigest } = entry;
        latestByKey.delete(key);
        return [{ type: 'key-claimed', key, requestDigest, atMs }];
      }
      if (entry.type !== 'key-done') return [];
      const latest = latestByKey.get(entry.key);
      latestByKey.set(entry.key, entry);
      if (latest !== undefined && hasEqualOutcome(latest, entry)) return [];
      return [{ type: 'outcome-recorded', key: entry.key, outcome: entry.outcome, atMs }];
    });
  });
}

function hasEqualOutcome(first: KeyDone, second: KeyDone): boolean {
  return (
    first.outcome === second.outcome &&
    first.reply?.status === second.reply?.status &&
    first.reply?.bodyDigest === second.reply?.bodyDigest
  );
}
