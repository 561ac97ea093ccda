import type { JournalRecord } from '@acaciahoist/types/journal-record';
import type { LogPage } from '@acaciahoist/types/log-page';
import type { LogRecord } from '@acaciahoist/types/log-record';
import type { Offset } from '@acaciahoist/types/offset';
import type { PartitionId } from '@acaciahoist/types/partition-id';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';
import { applyEntry } from './apply-entry.js';
import { createState } from './create-state.js';
import { decodeRecord } from './decode-record.js';
import { defaultPolicy } from './default-policy.js';
import { hasFields } from './has-fields.js';
import { JournalLimits } from './journal-limits.js';
import type { JournalPolicy } from './journal-policy.js';
import type { JournalState } from './journal-state.js';
import type { OwnershipState } from './ownership-state.js';
import { restoreState } from './restore-state.js';
import { saveState } from './save-state.js';
import { StreamCursor } from './stream-cursor.js';
import type { ApplyResult } from './apply-result.js';

const ownershipFields = {
  token: 'offset',
  sequence: 'offset',
  lastOwnerRecord: 'offset',
  former: 'array',
} as const;

const noOwner: OwnershipState = {
  holder: undefined,
  token: -1,
  sequence: 0,
  lastOwnerRecord: -1,
  former: [],
};

/**
 * Replays the log stream of one partition. It uses no clock and no I/O, so that all readers of the
 * same records reach the same state and the same owner.
 */
export class Journal {
  static create(partition: PartitionId, policy: Partial<JournalPolicy> = {}): Journal {
    return new Journal(partition, { ...defaultPolicy, ...policy });
  }

  private currentState = createState();
  private ownership = noOwner;
  private readonly cursor = StreamCursor.create();
  private entryCount = 0;
  private snapshotOffset: Offset = -1;
  private malformedCount = 0;

  private constructor(
    readonly partition: PartitionId,
    private readonly policy: JournalPolicy,
  ) {}

  /**
   * The current state. Applied records change this object in place; a snapshot that ends a
   * retention gap replaces it by another object.
   */
  state(): JournalState {
    return this.currentState;
  }

  /** The owner, or undefined when no process has claimed the partition or the owner released it. */
  holder(): ProcessIdentity | undefined {
    return this.ownership.holder;
  }

  /** The owner's fencing token, or -1 without an owner. */
  token(): Offset {
    return this.ownership.token;
  }

  /** Sequence number of the owner's last valid record, 0 directly after its claim. */
  sequence(): number {
    return this.ownership.sequence;
  }

  /** Offset of the last valid record of an owner, including its release, or -1. */
  lastOwnerRecord(): Offset {
    return this.ownership.lastOwnerRecord;
  }

  /**
   * Last valid sequence number under the current token or that of a former owner that is kept;
   * undefined for any other token.
   */
  sequenceOf(token: Offset): number | undefined {
    if (token === this.ownership.token) return this.ownership.sequence;
    return this.ownership.former.find((owner) => owner.token === token)?.sequence;
  }

  /** Former owners that did not release the partition and may act until their hold time is over. */
  unreleasedOwners(): readonly { token: Offset; holder: ProcessIdentity }[] {
    return this.ownership.former.flatMap(({ token, holder }) =>
      holder === null ? [] : [{ token, holder }],
    );
  }

  /** Offset of the record to read next. */
  nextOffset(): Offset {
    return this.cursor.nextOffset();
  }

  /** False in a retention gap until a snapshot is restored. */
  hasState(): boolean {
    return !this.cursor.isInGap();
  }

  /** Number of entries applied since the last valid snapshot. */
  entriesSinceSnapshot(): number {
    return this.entryCount;
  }

  /** Offset of the last valid snapshot that was replayed, or -1. */
  lastSnapshot(): Offset {
    return this.snapshotOffset;
  }

  /** Number of records that could not be decoded. */
  malformedRecords(): number {
    return this.malformedCount;
  }

  /**
   * Builds the snapshot of the current state. `token` is the token of the writer. It differs from
   * that of the journal when a successor's claim has just been read: with the journal's token a
   * former owner would write a record in the name of its successor. The snapshot shares objects
   * with the current state, so it must be encoded before the next record is applied.
   */
  snapshot(token: Offset, sequence: number): JournalRecord {
    const { holder, ...ownership } = this.ownership;
    const state = {
      position: { ...ownership, holder: holder ?? null },
      state: saveState(this.currentState),
    };
    return {
      type: 'snapshot',
      token,
      sequence,
      asOf: this.cursor.nextOffset() - 1,
      state,
    };
  }

  /** Applies a page that was read at `nextOffset()`. Records at other offsets are ignored. */
  applyPage(page: LogPage): void {
    this.cursor.applyPage(page, (record) => this.apply(record));
  }

  /** Applies one record. A record that is not at `nextOffset()` is ignored. */
  apply(logRecord: LogRecord): ApplyResult {
    if (!this.cursor.advance(logRecord.offset)) return { type: 'ignored', reason: 'out-of-order' };
    const decoded = decodeRecord(logRecord.data);
    if (decoded.isErr) {
      this.malformedCount += 1;
      return { type: 'ignored', reason: 'malformed' };
    }
    const record = decoded.value;
    if (this.cursor.isInGap()) return this.restoreSnapshot(record);
    if (record.type === 'claim') return this.applyClaim(record, logRecord.offset);
    return this.applyOwnerRecord(record, logRecord.offset);
  }

  /**
   * Ends a retention gap with a snapshot. The state as of `asOf` is the same for every writer, so a
   * snapshot is accepted even when its writer was no longer the owner; the claim that ended the
   * writer's ownership is replayed after `asOf`.
   */
  private restoreSnapshot(record: JournalRecord): ApplyResult {
    const ignored = { type: 'ignored', reason: 'no-state' } as const;
    if (record.type !== 'snapshot' || !this.cursor.canResume(record.asOf)) return ignored;
    const saved = record.state as { position: OwnershipState; state: unknown };
    const state = restoreState(saved.state);
    if (state.isErr || !hasFields(saved.position, ownershipFields)) return ignored;
    this.currentState = state.value;
    this.ownership = { ...saved.position, holder: saved.position.holder ?? undefined };
    this.entryCount = 0;
    this.cursor.resume(record.asOf);
    return { type: 'restored' };
  }

  /** Applies a claim unless a valid owner record is above the offset that the claim replaces. */
  private applyClaim(record: JournalRecord & { type: 'claim' }, offset: Offset): ApplyResult {
    const { token, sequence, lastOwnerRecord, holder } = this.ownership;
    if (record.replaces < lastOwnerRecord || record.replaces >= offset) {
      return { type: 'ignored', reason: 'stale-claim' };
    }
    this.currentState.termStartMs = this.currentState.elapsedMs;
    this.ownership = {
      holder: record.holder,
      token: offset,
      sequence: 0,
      lastOwnerRecord: offset,
      former:
        token === -1 ? this.ownership.former : this.addFormerOwner(token, sequence, holder ?? null),
    };
    return { type: 'applied', record };
  }

  private addFormerOwner(
    token: Offset,
    sequence: number,
    holder: ProcessIdentity | null,
  ): OwnershipState['former'] {
    return [...this.ownership.former, { token, sequence, holder }].slice(
      -JournalLimits.formerOwners,
    );
  }

  /** Applies a commit, release or snapshot if the owner wrote it and it is newer than the last one. */
  private applyOwnerRecord(
    record: Exclude<JournalRecord, { type: 'claim' }>,
    offset: Offset,
  ): ApplyResult {
    const { token, sequence } = this.ownership;
    if (token === -1 || record.token !== token) return { type: 'ignored', reason: 'stale-token' };
    if (record.sequence <= sequence) return { type: 'ignored', reason: 'duplicate' };
    this.ownership = { ...this.ownership, sequence: record.sequence, lastOwnerRecord: offset };
    if (record.type === 'commit') this.applyEntries(record);
    if (record.type === 'snapshot') {
      this.entryCount = 0;
      this.snapshotOffset = offset;
    }
    if (record.type === 'release') {
      const former = this.addFormerOwner(token, record.sequence, null);
      this.ownership = { ...noOwner, lastOwnerRecord: offset, former };
    }
    return { type: 'applied', record };
  }

  /**
   * Advances the time of the partition to the time that the owner has counted in its term. A record of an
   * earlier version, or with an odd value, advances nothing: items are kept longer, never shorter.
   */
  private advanceTime(termMs: number | undefined): void {
    if (termMs === undefined || !Number.isSafeInteger(termMs)) return;
    const state = this.currentState;
    state.elapsedMs = Math.max(state.elapsedMs, state.termStartMs + termMs);
  }

  private applyEntries(record: JournalRecord & { type: 'commit' }): void {
    this.advanceTime(record.termMs);
    this.entryCount += record.entries.length;
    for (const entry of record.entries) applyEntry(this.currentState, this.policy, entry);
  }
}
