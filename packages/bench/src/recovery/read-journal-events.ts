import type { HistoryEvent } from '@acaciahoist/history-checker/history-event';
import { Journal } from '@acaciahoist/journal';
import type { RecoveryCell } from './recovery-cell.js';

/** Returns the claims and outcomes of keys in the valid records of all journals, with their append times. */
export function readJournalEvents(cell: RecoveryCell): HistoryEvent[] {
  return cell.layout.listAll().flatMap((partition) => readPartition(cell, partition));
}

function readPartition(cell: RecoveryCell, partition: string): HistoryEvent[] {
  const stream = `journal.${partition}`;
  const appendedAtMsByOffset = new Map(
    cell.standIn.history
      .ofType('append')
      .filter((event) => event.stream === stream)
      .map((event) => [event.offset, event.atMs]),
  );
  const journal = Journal.create(partition);
  return cell.standIn.log.readRecords(stream).records.flatMap((record) => {
    const result = journal.apply(record);
    if (result.type !== 'applied' || result.record.type !== 'commit') return [];
    const atMs = appendedAtMsByOffset.get(record.offset) ?? 0;
    return result.record.entries.flatMap((entry): HistoryEvent[] => {
      if (entry.type === 'key-claimed') {
        const { key, requestDigest } = entry;
        return [{ type: 'key-claimed', key, requestDigest, atMs }];
      }
      if (entry.type !== 'key-done') return [];
      return [{ type: 'outcome-recorded', key: entry.key, outcome: entry.outcome, atMs }];
    });
  });
}
