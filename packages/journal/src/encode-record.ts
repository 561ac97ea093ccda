import { err, ok, type Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import type { JournalRecord } from '@acaciahoist/types/journal-record';
import { JournalLimits } from './journal-limits.js';
import { packer } from './packer.js';

/** Encodes one record. Fails with `bad-request` when it is too large or cannot be encoded. */
export function encodeRecord(record: JournalRecord): Result<Uint8Array, Failure> {
  let data: Uint8Array;
  try {
    data = packer.pack(record);
  } catch (error) {
    const message = `The ${record.type} record cannot be encoded: ${String(error)}.`;
    return err(Failure.create('bad-request', message));
  }
  if (data.length <= JournalLimits.recordBytes) return ok(data);
  const message = `The ${record.type} record has ${data.length} bytes; at most ${JournalLimits.recordBytes} are allowed.`;
  return err(Failure.create('bad-request', message, { bytes: data.length }));
}
