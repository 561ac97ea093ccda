import { Packr } from 'msgpackr';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import { findShapeError } from '@acaciahoist/types/find-shape-error';
import { recordShapes } from './record-shapes.js';
import { recordStructures } from './record-structures.js';

// Each record must be decodable without the others. Therefore the codec defines no structures
// beyond those of the table, and writes objects of any other shape with their field names.
const packr = new Packr({
  useRecords: true,
  structures: recordStructures.map((fields) => [...fields]),
  maxSharedStructures: recordStructures.length,
  maxOwnStructures: 0,
  mapsAsObjects: true,
  // Numbers of 64 bits would otherwise be bigints, which throw when they meet numbers.
  int64AsType: 'number',
});

/**
 * Maximum depth of a record; those of this version are nested six levels deep. The state keeps jobs with the
 * fields that it does not know, and a snapshot of thousands of levels cannot be encoded.
 */
const MAX_DEPTH = 32;

/** Encodes and decodes records of the cell log. */
export const recordCodec = {
  encode(record: CellRecord): Uint8Array {
    return packr.pack(record);
  },

  /** Returns undefined for bytes that are not a record of a known kind. */
  decode(data: Uint8Array): CellRecord | undefined {
    const value = unpack(data);
    if (typeof value !== 'object' || value === null) return undefined;
    const shape = recordShapes.get((value as { kind?: unknown }).kind);
    if (shape === undefined || findShapeError(shape, value, 'record') !== undefined)
      return undefined;
    return isNestedDeeper(value, MAX_DEPTH) ? undefined : (value as CellRecord);
  },
};

function unpack(data: Uint8Array): unknown {
  try {
    return packr.unpack(data);
  } catch {
    // msgpackr throws on malformed bytes; the caller logs the offset.
    return undefined;
  }
}

function isNestedDeeper(value: unknown, depth: number): boolean {
  if (typeof value !== 'object' || value === null) return false;
  if (depth === 0) return true;
  return Object.values(value).some((item) => isNestedDeeper(item, depth - 1));
}
