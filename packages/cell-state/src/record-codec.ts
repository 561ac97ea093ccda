import { Packr } from 'msgpackr';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';

// Record structures stay off: each record must decode on its own.
const packr = new Packr({ useRecords: false });

const KINDS = new Set(['claim', 'renew', 'release', 'job', 'cancel', 'start', 'end']);

/** Encodes records of the cell log. */
export const recordCodec = {
  encode(record: CellRecord): Uint8Array {
    return packr.pack(record);
  },

  /** Undefined for bytes that are no record of a known kind. */
  decode(data: Uint8Array): CellRecord | undefined {
    try {
      const value = packr.unpack(data) as { kind?: unknown } | null;
      if (typeof value !== 'object' || value === null) return undefined;
      return KINDS.has(String(value.kind)) ? (value as CellRecord) : undefined;
    } catch {
      // msgpackr throws on malformed bytes; the caller logs the offset.
      return undefined;
    }
  },
};
