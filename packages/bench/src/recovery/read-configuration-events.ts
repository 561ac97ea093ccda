import { decodeConfigurationRecord } from '@acaciahoist/configuration/decode-configuration-record';
import type { HistoryEvent } from '@acaciahoist/history-checker/history-event';
import { digestText } from './digest-text.js';
import type { RecoveryCell } from './recovery-cell.js';

/**
 * Returns the accepted publications in the log. As the design page defines it, a publication is accepted
 * if its base revision is the current one.
 */
export function readConfigurationEvents(cell: RecoveryCell): HistoryEvent[] {
  const appendedAtMsByOffset = new Map(
    cell.standIn.history
      .ofType('append')
      .filter((event) => event.stream === 'configuration')
      .map((event) => [event.offset, event.atMs]),
  );
  let revision = 0;
  return cell.standIn.log.readRecords('configuration').records.flatMap(({ offset, data }) => {
    const record = decodeConfigurationRecord(data);
    if (record.isErr || record.value.type !== 'publication') return [];
    if (record.value.baseRevision !== revision) return [];
    revision += 1;
    const textDigest = digestText(record.value.text);
    const atMs = appendedAtMsByOffset.get(offset) ?? 0;
    return [{ type: 'configuration-accepted', revision, textDigest, atMs }];
  });
}
