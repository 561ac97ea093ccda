import { Packr } from 'msgpackr';
import type { KeyedRecord } from '@acaciahoist/cell-types/keyed-record';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import { claimShape } from '@acaciahoist/peer-protocol/claim-shape';
import { standbysShape } from '@acaciahoist/peer-protocol/standbys-shape';
import { findShapeError } from '@acaciahoist/types/find-shape-error';
import { shapes } from '@acaciahoist/types/shapes';

/**
 * Content of the record in which the owner names the processes that a starting process can query instead of
 * reading the log.
 */
interface OwnerHint {
  claim: { owner: string; address: string; token: number };
  standbys: readonly (readonly [address: string, dataCentre: string])[];
  largestCores: number;
}

const hintShape = shapes.object({
  claim: claimShape,
  standbys: standbysShape,
  largestCores: shapes.numberFrom(0),
});
const HINT_KEY = 'owner';
const packr = new Packr({ useRecords: false, moreTypes: false });

/**
 * Encodes and reads the owner hint, a record of a keyed topic. A hint may be stale, so that its reader calls
 * the processes that it names to find the current owner.
 */
export const ownerHint = {
  /** Returns the hint as a keyed record. */
  toRecord(hint: OwnerHint): KeyedRecord {
    return { key: HINT_KEY, value: packr.pack(hint) };
  },

  /**
   * Reads the hint: undefined when the store did not answer, null when there is no hint or it cannot be
   * decoded.
   */
  async read(
    store: Pick<LogStore, 'readNewest'>,
    topic: string,
  ): Promise<OwnerHint | null | undefined> {
    const page = await store.readNewest(topic);
    if (page === undefined) return undefined;
    const data = page.records.find((record) => record.key === HINT_KEY)?.value;
    return data === undefined ? null : decode(data);
  },
};

function decode(data: Uint8Array): OwnerHint | null {
  try {
    const value: unknown = packr.unpack(data);
    return findShapeError(hintShape, value, 'hint') === undefined ? (value as OwnerHint) : null;
  } catch {
    // msgpackr throws on malformed bytes. A process without a hint reads the log instead.
    return null;
  }
}
