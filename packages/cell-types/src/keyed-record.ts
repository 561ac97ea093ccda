/** A record of a keyed topic. A record without a value removes the key. */
export interface KeyedRecord {
  key: string;
  value: Uint8Array | undefined;
}
