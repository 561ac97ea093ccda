import { err, ok, type Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import { packer } from '@acaciahoist/journal/packer';
import type { ConfigurationRecord } from '@acaciahoist/types/configuration-record';
import { ConfigurationLimits } from './configuration-limits.js';

/** Encodes one record. Fails with `bad-declaration` when the text is too large. */
export function encodeConfigurationRecord(
  record: ConfigurationRecord,
): Result<Uint8Array, Failure> {
  const data = packer.pack(record);
  if (data.length <= ConfigurationLimits.recordBytes) return ok(data);
  const message = `The record of the declaration has ${data.length} bytes; at most ${ConfigurationLimits.recordBytes} are allowed.`;
  return err(Failure.create('bad-declaration', message));
}
