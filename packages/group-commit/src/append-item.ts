import type { JournalRecord } from '@acaciahoist/types/journal-record';
import type { Failure } from '@acaciahoist/errors';
import type { Result } from 'true-myth/result';

/** One record to append, with callbacks for its outcome. */
export interface AppendItem {
  /** Creates the record with its sequence number. */
  build: (sequence: number) => JournalRecord;
  /**
   * False for a snapshot or a commit without entries. It is not sent again when a read did not find it. If it
   * is appended late after all, it is a duplicate or has no effect.
   */
  isRequired: boolean;
  /** Called with the final outcome. */
  settle: (outcome: Result<void, Failure>) => void;
  /** Called when the record was certainly not appended and may be sent again later. */
  onNotAppended: () => void;
}
