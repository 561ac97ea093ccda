import type { AppendRequest } from './append-request.js';
import type { AppendResult } from './append-result.js';
import type { KeyedRecord } from './keyed-record.js';
import type { ReadResult } from './read-result.js';

/** The platform's store of topics. Every call ends within its own time limit. */
export interface LogStore {
  append(request: AppendRequest): Promise<AppendResult>;
  /** Reads records from offset `from`; waits up to `waitMs` for a first one. */
  read(topic: string, from: number, waitMs: number): Promise<ReadResult>;
  /** The newest record of each key of a keyed topic, or undefined when the store did not answer. */
  newest(topic: string): Promise<{ records: KeyedRecord[]; end: number } | undefined>;
  encodeKeyed(record: KeyedRecord): Uint8Array;
  /** Undefined for bytes that are no keyed record. */
  decodeKeyed(data: Uint8Array): KeyedRecord | undefined;
  /** Time in ms for which the store has owed an answer, which tells a store that is away. */
  silentMs(): number;
}
