import { Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import type { Declaration } from '@acaciahoist/types/declaration';
import type { PartitionId } from '@acaciahoist/types/partition-id';
import type { AccountEntry } from './account-entry.js';
import { addRows } from './add-rows.js';
import type { AccountState } from './account-state.js';
import type { ClosedPeriod } from './closed-period.js';
import type { Correction } from './correction.js';
import { emptyRow } from './empty-row.js';
import { convertEntryToRow } from './convert-entry-to-row.js';
import { firstDigest } from './first-digest.js';
import { periodBounds } from './period-bounds.js';
import { periodDigest } from './period-digest.js';
import { periodName } from './period-name.js';
import { sortBy } from './sort-by.js';
import type { TotalsRow } from './totals-row.js';
import { verifyChain } from './verify-chain.js';

/** Largest number of due periods listed at once: more than the days of a year. */
const MAX_DUE_PERIODS = 400;

interface OpenPeriod {
  readonly rows: Map<string, TotalsRow>;
  readonly corrections: Map<string, Correction>;
}

/**
 * The account of one partition: totals of the open periods, and the closed periods. It uses no
 * clock and no I/O: the same calls in the same order give the same state in every process that
 * replays the journal.
 */
export class AccountBook {
  static create(partition: PartitionId): AccountBook {
    return new AccountBook(partition);
  }

  /**
   * Restores the account from a snapshot. Fails with `internal` when the digest chain is broken.
   */
  static restore(state: AccountState): Result<AccountBook, Failure> {
    return verifyChain(state.closed).map((closed) => {
      const account = new AccountBook(state.partition);
      for (const period of closed) account.storeClosedPeriod(freezePeriod(period));
      for (const { period, rows, corrections } of state.open) {
        const open = account.ensureOpenPeriod(period);
        for (const row of rows) open.rows.set(createRowKey(row), row);
        for (const correction of corrections) account.storeCorrection(open, correction);
      }
      return account;
    });
  }

  /** End of the last closed period. Entries of earlier times are added to the period after it. */
  private closedUntilMs = -Infinity;
  private readonly closedPeriods = new Map<string, ClosedPeriod>();
  private readonly correctionIds = new Set<string>();
  private readonly openPeriods = new Map<string, OpenPeriod>();

  private constructor(private readonly partition: PartitionId) {}

  /**
   * Adds an entry to the period of its time, or to the period after the closed ones when that
   * period is closed, and returns the name of the period. Fails with `bad-request` when an amount
   * is negative or not an integer and with `internal` when a total exceeds 2^53; the totals are
   * unchanged then.
   */
  add(entry: AccountEntry, atMs: number, length: Declaration['period']): Result<string, Failure> {
    const period = this.choosePeriod(atMs, length);
    return convertEntryToRow(entry).andThen((added) => {
      const previous = this.openPeriods.get(period)?.rows.get(createRowKey(added));
      return addRows(previous ?? emptyRow(entry.user, entry.team), added).map((row) => {
        this.ensureOpenPeriod(period).rows.set(createRowKey(row), row);
        return period;
      });
    });
  }

  /**
   * Records a correction of a closed period in the open period and returns the name of the open
   * period. A second call with the same id has no effect. Fails with `not-found` when the corrected
   * period is not closed.
   */
  correct(
    correction: Correction,
    atMs: number,
    length: Declaration['period'],
  ): Result<string, Failure> {
    if (!this.closedPeriods.has(correction.corrects)) {
      const message = `period ${correction.corrects} of partition ${this.partition} is not closed; correct only closed periods`;
      return Result.err(Failure.create('not-found', message));
    }
    const period = this.choosePeriod(atMs, length);
    if (this.correctionIds.has(correction.id)) return Result.ok(period);
    this.storeCorrection(this.ensureOpenPeriod(period), correction);
    return Result.ok(period);
  }

  /**
   * Closes a period, even one without entries, after the open periods that end no later than it.
   * Returns the periods that the call closed, oldest first: none when this or a later period is
   * already closed, or when the name is invalid.
   */
  close(period: string): readonly ClosedPeriod[] {
    const end = periodBounds(period)?.endMs;
    if (end === undefined || end <= this.closedUntilMs) return [];
    // A month and its last day end at the same time, so periods with the same end are closed too.
    const isDue = (name: string) => (periodBounds(name)?.endMs ?? Infinity) <= end;
    const dueNames = this.listOpenPeriods().filter((name) => name !== period && isDue(name));
    return [...dueNames, period].map((name) => this.closeSinglePeriod(name));
  }

  /**
   * Returns the names of the periods that end by `nowMs` and are not closed, oldest first,
   * including periods without entries. At most `MAX_DUE_PERIODS` are returned: a higher number
   * indicates a wall clock that is far ahead.
   */
  listDuePeriods(nowMs: number, length: Declaration['period']): readonly string[] {
    const oldestStartMs = this.listOpenPeriods().map(
      (name) => periodBounds(name)?.startMs ?? Infinity,
    )[0];
    let startMs = Number.isFinite(this.closedUntilMs)
      ? this.closedUntilMs
      : (oldestStartMs ?? Infinity);
    const names: string[] = [];
    while (names.length < MAX_DUE_PERIODS && startMs < nowMs) {
      const name = periodName(startMs, length);
      const endMs = periodBounds(name)?.endMs ?? Infinity;
      if (endMs > nowMs) break;
      names.push(name);
      startMs = endMs;
    }
    return names;
  }

  /** Lists the closed periods in the order in which they were closed. */
  listClosedPeriods(): readonly ClosedPeriod[] {
    return [...this.closedPeriods.values()];
  }

  /** Lists the names of the open periods with entries or corrections, oldest first. */
  listOpenPeriods(): readonly string[] {
    return sortBy(this.openPeriods.keys(), (name) => [createEndSortKey(name), name]);
  }

  /** Lists the current totals of an open period, sorted by user and team. They are not final. */
  listOpenRows(period: string): readonly TotalsRow[] {
    return sortRows(this.openPeriods.get(period)?.rows.values() ?? []);
  }

  /** Returns the state that a snapshot stores. */
  state(): AccountState {
    const open = this.listOpenPeriods().map((period) => ({
      period,
      rows: this.listOpenRows(period),
      corrections: this.listOpenCorrections(period),
    }));
    return { partition: this.partition, closed: this.listClosedPeriods(), open };
  }

  private listOpenCorrections(period: string): readonly Correction[] {
    return sortBy(this.openPeriods.get(period)?.corrections.values() ?? [], ({ id }) => [id]);
  }

  private closeSinglePeriod(period: string): ClosedPeriod {
    const content = {
      partition: this.partition,
      period,
      rows: this.listOpenRows(period),
      corrections: this.listOpenCorrections(period),
      previousDigest: this.listClosedPeriods().at(-1)?.digest ?? firstDigest,
    };
    const closed = freezePeriod({ ...content, digest: periodDigest(content) });
    this.openPeriods.delete(period);
    this.storeClosedPeriod(closed);
    return closed;
  }

  private storeCorrection(open: OpenPeriod, correction: Correction): void {
    this.correctionIds.add(correction.id);
    open.corrections.set(correction.id, freezeCorrection(correction));
  }

  private storeClosedPeriod(period: ClosedPeriod): void {
    this.closedPeriods.set(period.period, period);
    this.closedUntilMs = periodBounds(period.period)?.endMs ?? this.closedUntilMs;
    for (const { id } of period.corrections) this.correctionIds.add(id);
  }

  /**
   * Returns the period of `atMs`, or the period after the last closed one when that period ends no
   * later than the last closed one.
   */
  private choosePeriod(atMs: number, length: Declaration['period']): string {
    const name = periodName(atMs, length);
    const endMs = periodBounds(name)?.endMs ?? Infinity;
    return endMs > this.closedUntilMs ? name : periodName(this.closedUntilMs, length);
  }

  private ensureOpenPeriod(name: string): OpenPeriod {
    const existing = this.openPeriods.get(name);
    if (existing !== undefined) return existing;
    const created = {
      rows: new Map<string, TotalsRow>(),
      corrections: new Map<string, Correction>(),
    };
    this.openPeriods.set(name, created);
    return created;
  }
}

function createRowKey(row: { user: string; team: string }): string {
  return JSON.stringify([row.user, row.team]);
}

/** Returns the end of a period as text of fixed length, so that texts sort in order of time. */
function createEndSortKey(period: string): string {
  return String(periodBounds(period)?.endMs ?? 0).padStart(16, '0');
}

function sortRows(rows: Iterable<TotalsRow>): readonly TotalsRow[] {
  return sortBy(rows, ({ user, team }) => [user, team]);
}

function freezeRow(row: TotalsRow): TotalsRow {
  return Object.freeze({ ...row, counts: Object.freeze({ ...row.counts }) });
}

/** Returns a copy that no caller can change. */
function freezePeriod(period: ClosedPeriod): ClosedPeriod {
  const rows = Object.freeze(period.rows.map(freezeRow));
  const corrections = Object.freeze(period.corrections.map(freezeCorrection));
  return Object.freeze({ ...period, rows, corrections });
}

function freezeCorrection(correction: Correction): Correction {
  return Object.freeze({ ...correction, change: freezeRow(correction.change) });
}
