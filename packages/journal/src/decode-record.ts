import { err, ok, type Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import type { JournalRecord } from '@acaciahoist/types/journal-record';
import { hasFields } from './has-fields.js';
import { isJournalEntry } from './is-journal-entry.js';
import { JournalLimits } from './journal-limits.js';
import { packer } from './packer.js';

const ownerRecordFields = { token: 'offset', sequence: 'offset' } as const;
const recordFields: Readonly<Record<JournalRecord['type'], Parameters<typeof hasFields>[1]>> = {
  claim: { holder: 'object', replaces: 'offset' },
  commit: { ...ownerRecordFields, entries: 'array' },
  release: ownerRecordFields,
  snapshot: { ...ownerRecordFields, asOf: 'offset', state: 'object' },
};
const holderFields = { process: 'string', incarnation: 'string', dataCentre: 'string' } as const;

function isJournalRecord(value: unknown): value is JournalRecord {
  if (!hasFields(value, { type: 'string' })) return false;
  const record = value as JournalRecord;
  if (!Object.hasOwn(recordFields, record.type)) return false;
  if (!hasFields(record, recordFields[record.type])) return false;
  if (record.type === 'claim') return hasFields(record.holder, holderFields);
  if (record.type !== 'commit') return true;
  return (
    record.entries.length <= JournalLimits.commitEntries && record.entries.every(isJournalEntry)
  );
}

/**
 * Decodes one record. Fails with `bad-request` when the bytes are malformed or too many. A commit
 * with one malformed entry is malformed as a whole, because its entries take effect together or not
 * at all.
 */
export function decodeRecord(data: Uint8Array): Result<JournalRecord, Failure> {
  if (data.length > JournalLimits.recordBytes) {
    const message = `The record has ${data.length} bytes; at most ${JournalLimits.recordBytes} are allowed.`;
    return err(Failure.create('bad-request', message));
  }
  let value: unknown;
  try {
    value = packer.unpack(data);
  } catch (error) {
    return err(Failure.create('bad-request', `The record is malformed: ${String(error)}.`));
  }
  if (isJournalRecord(value)) return ok(value);
  return err(Failure.create('bad-request', 'The record has an unknown type or a malformed field.'));
}
