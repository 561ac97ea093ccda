import type { JournalRecord } from '@acaciahoist/types/journal-record';

/** The result of applying one record. It is the same for every reader. */
export type ApplyResult =
  /** The record is valid and was applied. */
  | { type: 'applied'; record: JournalRecord }
  /** The reader was in a retention gap and restored this snapshot; it resumes after its `asOf`. */
  | { type: 'restored' }
  | {
      type: 'ignored';
      reason:
        /** The record could not be decoded. */
        | 'malformed'
        /** The offset is not the next one. */
        | 'out-of-order'
        /** The reader is in a retention gap, and the record is not a snapshot that ends it. */
        | 'no-state'
        /** `replaces` is below the last valid owner record, or not below the offset of the claim. */
        | 'stale-claim'
        /** The token of the record is not that of the owner. */
        | 'stale-token'
        /** The sequence number is not above that of the owner's last valid record. */
        | 'duplicate';
    };
