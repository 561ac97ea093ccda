import { Packr } from 'msgpackr';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import { recordStructures } from './record-structures.js';

// Each record must be decodable without the others. Therefore the codec defines no structures
// beyond those of the table, and writes objects of any other shape with their field names.
const packr = new Packr({
  useRecords: true,
  structures: recordStructures.map((fields) => [...fields]),
  maxSharedStructures: recordStructures.length,
  maxOwnStructures: 0,
  mapsAsObjects: true,
});

const RECORD_KINDS = new Set([
  'claim',
  'renew',
  'release',
  'job',
  'cancel',
  'start',
  'life',
  'begun',
  'end',
]);

/** Encodes and decodes records of the cell log. */
export const recordCodec = {
  encode(record: CellRecord): Uint8Array {
    return packr.pack(record);
  },

  /** Returns undefined for bytes that are not a record of a known kind. */
  decode(data: Uint8Array): CellRecord | undefined {
    try {
      const value = packr.unpack(data) as { kind?: unknown } | null;
      if (typeof value !== 'object' || value === null) return undefined;
      return RECORD_KINDS.has(String(value.kind)) ? (value as CellRecord) : undefined;
    } catch {
      // msgpackr throws on malformed bytes; the caller logs the offset.
      return undefined;
    }
  },
};
