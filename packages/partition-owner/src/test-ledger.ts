import Result from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import { applyEntry } from '@acaciahoist/journal/apply-entry';
import { createState } from '@acaciahoist/journal/create-state';
import { defaultPolicy } from '@acaciahoist/journal/default-policy';
import type { JournalState } from '@acaciahoist/journal/journal-state';
import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import type { Ledger } from './ledger.js';

/** In-memory ledger for tests. Entries are durable at once while the authority is `leased`. */
export class TestLedger implements Ledger {
  static create(): TestLedger {
    return new TestLedger();
  }

  readonly entries: JournalEntry[] = [];
  currentAuthority: 'leased' | 'holding' | 'none' = 'leased';
  /** Number of next commits that take effect and return an unknown result. */
  unknownCommits = 0;
  /** Number of next commits that return an unknown result and take effect before the commit after them. */
  lateCommits = 0;
  /** True while the log appends nothing; late commits come first. */
  refusesCommits = false;
  private lateEntries: JournalEntry[] = [];
  private readonly journal = createState();

  authority(): 'leased' | 'holding' | 'none' {
    return this.currentAuthority;
  }

  token(): number | undefined {
    return this.currentAuthority === 'none' ? undefined : 7;
  }

  state(): JournalState {
    return this.journal;
  }

  commit(entries: readonly JournalEntry[]): Promise<Result<void, Failure>> {
    if (this.currentAuthority !== 'leased') {
      return Promise.resolve(Result.err(Failure.create('log-unavailable', 'no lease')));
    }
    if (this.lateCommits > 0) {
      this.lateCommits -= 1;
      this.lateEntries.push(...entries);
      return Promise.resolve(Result.err(Failure.create('append-unknown', 'no reply yet')));
    }
    if (this.refusesCommits) {
      return Promise.resolve(Result.err(Failure.create('log-unavailable', 'not appended')));
    }
    this.applyLateEntries();
    this.apply(entries);
    if (this.unknownCommits === 0) return Promise.resolve(Result.ok(undefined));
    this.unknownCommits -= 1;
    return Promise.resolve(Result.err(Failure.create('append-unknown', 'no reply')));
  }

  /** Lets the commits take effect that returned an unknown result and have not. */
  applyLateEntries(): void {
    this.apply(this.lateEntries.splice(0));
  }

  private apply(entries: readonly JournalEntry[]): void {
    for (const entry of entries) {
      this.entries.push(entry);
      applyEntry(this.journal, defaultPolicy, entry);
    }
  }
}
