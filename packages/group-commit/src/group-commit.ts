import { err, ok, type Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import type { ErrorKind } from '@acaciahoist/errors/error-kind';
import { encodeRecord } from '@acaciahoist/journal/encode-record';
import { isJournalEntry } from '@acaciahoist/journal/is-journal-entry';
import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import type { AppendItem } from './append-item.js';
import { AppendOutcome } from './append-outcome.js';
import { BackOff } from './back-off.js';
import type { GroupCommitOptions } from './group-commit-options.js';
import { RecordAppender } from './record-appender.js';
import { sleep } from './sleep.js';
import { EntryQueue } from './entry-queue.js';

/** Limits of one commit record. They keep an append short and the record far below its size limit. */
const MAX_BATCH = { entries: 2_000, bytes: 1024 * 1024 };

/** Bounds of the delay after a record was not appended, in ms. */
const APPEND_RETRY_MS = { first: 50, max: 1_000 };

type QueuedCall = ReturnType<EntryQueue['takeBatch']>[number];

function failWith(kind: ErrorKind, message: string): Result<void, Failure> {
  return err(Failure.create(kind, message));
}

/**
 * Appends the entries of one fencing token in batches, one append at a time. Reports to each caller whether
 * its entries are durable, were not appended, or have an unknown result.
 */
export class GroupCommit {
  static create(options: GroupCommitOptions): GroupCommit {
    return new GroupCommit(options);
  }

  private readonly queue: EntryQueue;
  private readonly appender: RecordAppender;
  private readonly backOff = BackOff.create(APPEND_RETRY_MS.first, APPEND_RETRY_MS.max);
  /** Sequence number of the last record that was sent. */
  private lastSequence: number;
  /** Monotonic time from which the term counts. The claim is valid by now, so terms do not overlap. */
  private readonly termStartMs: number;
  private lastAppendAtMs = -Infinity;
  private inFlightCalls: readonly QueuedCall[] = [];
  private needsRenewal = false;
  private needsSnapshot = false;
  private needsRelease = false;
  private settleRelease: ((outcome: Result<void, Failure>) => void) | undefined;
  private isRunning = false;
  private isClosed = false;
  private cancelExpiry: (() => void) | undefined;
  private refusedCallCount = 0;
  private snapshotFault = '';

  private constructor(private readonly options: GroupCommitOptions) {
    this.queue = EntryQueue.create(options.maxWaitingEntries, options.maxWaitingBytes);
    this.appender = RecordAppender.create(options);
    this.lastSequence = options.journal.sequence();
    this.termStartMs = options.clock.monotonicMs();
  }

  /**
   * Appends the entries in one record. Fails with `log-unavailable` or `not-owner` when they were
   * certainly not appended, with `bad-request` when they are malformed or too many, and with
   * `append-unknown` when they may have been appended or may still be.
   */
  commit(entries: readonly JournalEntry[]): Promise<Result<void, Failure>> {
    if (this.isClosed || this.needsRelease) {
      return Promise.resolve(failWith('not-owner', 'The owner is stopping.'));
    }
    // Readers ignore the whole record when one entry is malformed, so a malformed entry must not join a
    // batch.
    if (entries.length > MAX_BATCH.entries || !entries.every(isJournalEntry)) {
      const message = `The commit of ${entries.length} entries is malformed or over ${MAX_BATCH.entries} entries.`;
      return Promise.resolve(failWith('bad-request', message));
    }
    const { clock, entryWaitMs } = this.options;
    const queuedCommit = this.queue.add(entries, clock.monotonicMs() + entryWaitMs);
    if (queuedCommit === undefined) {
      this.refusedCallCount += 1;
      const message = `Too many entries (${this.queue.size()}) wait for the log; try again later.`;
      return Promise.resolve(failWith('log-unavailable', message));
    }
    this.scheduleExpiry();
    this.startAppending();
    return queuedCommit;
  }

  /** Renews the lease by an empty commit, unless a record is being appended, which renews it too. */
  requestRenewal(): void {
    if (this.isRunning) return;
    this.needsRenewal = true;
    this.startAppending();
  }

  /** Requests a snapshot. It is appended before further entries. */
  requestSnapshot(): void {
    this.needsSnapshot = true;
    this.startAppending();
  }

  /** Appends a snapshot, the waiting entries and the release of the partition. */
  release(): Promise<Result<void, Failure>> {
    if (this.isClosed) return Promise.resolve(failWith('not-owner', 'The owner has stopped.'));
    this.needsSnapshot = true;
    this.needsRelease = true;
    this.startAppending();
    return new Promise((resolve) => {
      this.settleRelease = resolve;
    });
  }

  /**
   * Stops and settles all calls. Waiting entries were not appended; the result of the record in flight is
   * unknown unless the journal shows it.
   */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.appender.stop();
    this.cancelExpiry?.();
    const notAppended = failWith(
      'not-owner',
      'The owner stopped before the entries were appended.',
    );
    for (const call of this.queue.takeExpired(Infinity)) call.settle(notAppended);
    const outcome = this.determineInFlightOutcome();
    for (const call of this.inFlightCalls) call.settle(outcome);
    this.settleRelease?.(outcome);
  }

  /** Values for the state dump. */
  describe(): Record<string, number | string> {
    return {
      waitingEntries: this.queue.size(),
      inFlightCalls: this.inFlightCalls.length,
      sequence: this.lastSequence,
      appends: this.appender.appendCount,
      readBacks: this.appender.readBackCount,
      refusedCalls: this.refusedCallCount,
      snapshotFault: this.snapshotFault,
    };
  }

  /**
   * Determines the result of the record in flight. The journal shows it once the claim of a successor was
   * read.
   */
  private determineInFlightOutcome(): Result<void, Failure> {
    const { journal, token } = this.options;
    const recordedSequence = journal.sequenceOf(token);
    const isOutcomeKnown =
      journal.hasState() && journal.token() !== token && recordedSequence !== undefined;
    if (!isOutcomeKnown) {
      return failWith('append-unknown', 'The owner stopped while an append was in flight.');
    }
    if (recordedSequence >= this.lastSequence) return ok(undefined);
    return failWith('not-owner', 'Another process claimed the partition before the append.');
  }

  private startAppending(): void {
    if (this.isRunning || this.isClosed) return;
    this.isRunning = true;
    void this.appendItems();
  }

  private async appendItems(): Promise<void> {
    while (this.hasWork()) {
      await this.waitForInterval();
      const item = this.isClosed ? undefined : this.selectItem();
      if (item !== undefined) await this.appendItem(item);
    }
    this.isRunning = false;
  }

  private hasWork(): boolean {
    if (this.isClosed) return false;
    return this.needsSnapshot || this.needsRelease || this.needsRenewal || this.queue.size() > 0;
  }

  /**
   * Waits until the commit interval since the last append has passed; entries that arrive meanwhile join
   * the batch.
   */
  private async waitForInterval(): Promise<void> {
    const { clock, commitIntervalMs } = this.options;
    const waitMs = this.lastAppendAtMs + commitIntervalMs() - clock.monotonicMs();
    if (waitMs > 0) await sleep(clock, waitMs);
    else await Promise.resolve();
  }

  /** Creates the next record to append: snapshot, waiting entries, release, renewal. */
  private selectItem(): AppendItem | undefined {
    // If retention removed unread records, the journal has no complete state for a snapshot.
    if (this.needsSnapshot && this.options.journal.hasState()) return this.createSnapshotItem();
    this.needsSnapshot = false;
    const calls = this.queue.takeBatch(MAX_BATCH.entries, MAX_BATCH.bytes);
    if (calls.length > 0) return this.createCommitItem(calls);
    if (this.needsRelease) return this.createReleaseItem();
    return this.needsRenewal ? this.createCommitItem([]) : undefined;
  }

  private createSnapshotItem(): AppendItem {
    this.needsSnapshot = false;
    return {
      build: (sequence) => this.options.journal.snapshot(this.options.token, sequence),
      isRequired: false,
      settle: (outcome) => {
        this.snapshotFault = outcome.isErr ? outcome.error.message : '';
      },
      // The snapshot is not repeated here: a log that refuses only this large record must not delay the
      // entries. The owner requests it again.
      onNotAppended: () => {
        this.snapshotFault = 'The snapshot was not appended.';
      },
    };
  }

  private createCommitItem(calls: readonly QueuedCall[]): AppendItem {
    this.needsRenewal = false;
    this.inFlightCalls = calls;
    const entries = calls.flatMap((call) => call.entries);
    return {
      build: (sequence) => ({
        type: 'commit',
        token: this.options.token,
        sequence,
        termMs: this.countTermMs(),
        entries,
      }),
      isRequired: calls.length > 0,
      settle: (outcome) => {
        this.inFlightCalls = [];
        for (const call of calls) call.settle(outcome);
      },
      onNotAppended: () => {
        this.inFlightCalls = [];
        this.needsRenewal = true;
        this.queue.putBack(calls);
      },
    };
  }

  /** Monotonic time does not count suspensions, so the term is never longer than it was. */
  private countTermMs(): number {
    return Math.floor(this.options.clock.monotonicMs() - this.termStartMs);
  }

  private createReleaseItem(): AppendItem {
    return {
      build: (sequence) => ({ type: 'release', token: this.options.token, sequence }),
      isRequired: true,
      settle: (outcome) => {
        this.needsRelease = false;
        this.settleRelease?.(outcome);
      },
      onNotAppended: () => undefined,
    };
  }

  private async appendItem(item: AppendItem): Promise<void> {
    const sequence = this.lastSequence + 1;
    const encoded = encodeRecord(item.build(sequence));
    if (encoded.isErr) {
      item.settle(err(encoded.error));
      return;
    }
    this.lastAppendAtMs = this.options.clock.monotonicMs();
    this.lastSequence = sequence;
    const outcome = await this.appender.append(encoded.value, sequence, item.isRequired);
    await this.settleItem(item, outcome);
  }

  private async settleItem(item: AppendItem, outcome: AppendOutcome): Promise<void> {
    switch (outcome) {
      case AppendOutcome.durable:
        this.backOff.reset();
        item.settle(ok(undefined));
        return;
      case AppendOutcome.notAppended:
        item.onNotAppended();
        await sleep(this.options.clock, this.backOff.next());
        return;
      case AppendOutcome.fenced:
        item.settle(
          failWith('not-owner', 'Another process claimed the partition before the append.'),
        );
        this.options.onFenced();
        return;
      case AppendOutcome.unknown:
        item.settle(
          failWith('append-unknown', 'The result of the append could not be determined.'),
        );
        if (!this.isClosed) this.options.onFenced();
    }
  }

  private scheduleExpiry(): void {
    if (this.cancelExpiry !== undefined) return;
    const { clock, entryWaitMs } = this.options;
    this.cancelExpiry = clock.after(entryWaitMs / 4, () => {
      this.cancelExpiry = undefined;
      this.settleExpiredCalls(clock.monotonicMs());
      if (this.queue.size() > 0 || this.inFlightCalls.length > 0) this.scheduleExpiry();
    });
  }

  private settleExpiredCalls(nowMs: number): void {
    const message = 'The log did not accept the entries in time; they were not appended.';
    for (const call of this.queue.takeExpired(nowMs)) {
      call.settle(failWith('log-unavailable', message));
    }
    const unknown = 'The append was sent and its result is not known yet.';
    for (const call of this.inFlightCalls) {
      if (call.deadlineAtMs <= nowMs) call.settle(failWith('append-unknown', unknown));
    }
  }
}
