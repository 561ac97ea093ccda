import type { JournalEntry } from './journal-entry.js';
import type { Offset } from './offset.js';
import type { ProcessIdentity } from './process-identity.js';

/** One record of a partition's log stream. */
export type JournalRecord =
  /** `replaces`: offset of the last valid record of an owner that the claiming process has read, or -1. */
  | { type: 'claim'; holder: ProcessIdentity; replaces: Offset }
  /**
   * A batch of entries; an empty batch renews the lease. Sequence numbers increase from 1 for each token;
   * gaps are allowed. `termMs`: time on the owner's monotonic clock since its claim was valid; absent in
   * records of earlier versions.
   */
  | {
      type: 'commit';
      token: Offset;
      sequence: number;
      termMs?: number;
      entries: readonly JournalEntry[];
    }
  | { type: 'release'; token: Offset; sequence: number }
  /** The complete state as of the record at `asOf`. The package `journal` encodes `state`. */
  | { type: 'snapshot'; token: Offset; sequence: number; asOf: Offset; state: unknown };
