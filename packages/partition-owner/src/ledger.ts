import type Result from 'true-myth/result';
import type { Failure } from '@acaciahoist/errors';
import type { JournalState } from '@acaciahoist/journal/journal-state';
import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import type { Offset } from '@acaciahoist/types/offset';

/** The part of `Ownership` that a `PartitionOwner` uses. */
export interface Ledger {
  /**
   * `leased`: the process may append entries and start tasks. `holding`: its lease has expired and no other
   * claim was read, so only recorded work may continue. `none`: it is not the owner.
   */
  authority(): 'leased' | 'holding' | 'none';
  /** Fencing token, or undefined when this process is not the owner. */
  token(): Offset | undefined;
  state(): JournalState;
  /** Resolves when the entries are durable and `state()` includes them. */
  commit(entries: readonly JournalEntry[]): Promise<Result<void, Failure>>;
}
