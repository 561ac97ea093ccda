/** A record of a keyed topic. Without a value the key was removed. */
export interface KeyedRecord {
  key: string;
  value: Uint8Array | undefined;
}
