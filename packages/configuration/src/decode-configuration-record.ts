import { err, ok, type Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import { hasFields } from '@acaciahoist/journal/has-fields';
import { packer } from '@acaciahoist/journal/packer';
import type { ConfigurationRecord } from '@acaciahoist/types/configuration-record';
import { ConfigurationLimits } from './configuration-limits.js';

const commonFields = { text: 'string', operator: 'string', atMs: 'number' } as const;

function isConfigurationRecord(value: unknown): value is ConfigurationRecord {
  if (!hasFields(value, commonFields)) return false;
  const { type } = value as ConfigurationRecord;
  if (type === 'publication') return hasFields(value, { baseRevision: 'offset' });
  return (
    (type as unknown) === 'checkpoint' && hasFields(value, { revision: 'offset', asOf: 'offset' })
  );
}

/** Decodes one record. Fails with `bad-request` when the bytes are malformed or too many. */
export function decodeConfigurationRecord(data: Uint8Array): Result<ConfigurationRecord, Failure> {
  const failMalformed = () =>
    err<ConfigurationRecord, Failure>(
      Failure.create(
        'bad-request',
        `The configuration record is malformed or has more than ${ConfigurationLimits.recordBytes} bytes.`,
      ),
    );
  if (data.length > ConfigurationLimits.recordBytes) return failMalformed();
  try {
    const value: unknown = packer.unpack(data);
    return isConfigurationRecord(value) ? ok(value) : failMalformed();
  } catch {
    return failMalformed();
  }
}
