import type { Clock } from '@acaciahoist/clock';
import { Instant } from '@acaciahoist/clock/instant';
import { CellState } from '@acaciahoist/cell-state';
import { recordCodec } from '@acaciahoist/cell-state/record-codec';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import type { EventLog } from '@acaciahoist/types/event-log';
import { RecentRecords } from './recent-records.js';
import { RecordFaultLog } from './record-fault-log.js';
import type { SnapshotStore } from './snapshot-store.js';
import { SnapshotWait } from './snapshot-wait.js';

interface Options {
  clock: Clock;
  store: Pick<LogStore, 'read'>;
  /**
   * Reads the log to keep the replica up to date; may query another process instead of the store.
   */
  readLog: LogStore['read'];
  snapshots: Pick<SnapshotStore, 'read'>;
  log: EventLog;
  topic: string;
  /** Time in ms for which the replica keeps ended jobs. */
  retentionMs: number;
  /** Minimum time in ms between two reads, which saves calls to the store. */
  readIntervalMs: () => number;
  /** A record was applied; `isEffective` is false when it had no effect. */
  onApplied: (record: CellRecord, isEffective: boolean, offset: number) => void;
  /**
   * The state was replaced by that of a snapshot, without a call of `onApplied`, or must be because
   * the log no longer has the next record.
   */
  onReloaded: () => void;
}

/** Maximum wait of a read in ms; an outage of the store is noticed after this time. */
const READ_WAIT_MS = 400;
/**
 * Delay in ms of an additional read for records that are in the log and that the waiting read has
 * not returned.
 */
const ADDITIONAL_READ_DELAY_MS = 50;
/** Pause in ms after a failed read. */
const RETRY_PAUSE_MS = 100;
/**
 * Pause in ms between two reads of the snapshot while the replica waits for a newer one; a snapshot
 * of a large cell has a megabyte.
 */
const SNAPSHOT_POLL_PAUSE_MS = 500;

/** Keeps a replica of the cell up to date by reading the cell log. */
export class CellReplica {
  static create(options: Options): CellReplica {
    return new CellReplica(options);
  }

  state: CellState;
  isLoaded = false;
  private isStopped = false;
  private isLogUnavailable = false;
  private isAdditionalReadScheduled = false;
  /** The replica has every record that was in the log at this time. */
  private currentAsOf: Instant;
  /** Monotonic time at which this process last reached the end of the log. */
  private lastContactAtMs = Number.NEGATIVE_INFINITY;
  /** Records that this process appended, by offset, until all records before them are applied. */
  private readonly appended = new Map<number, readonly Uint8Array[]>();
  /** Monotonic time at or after which this replica got the newest record of an owner. */
  private ownerRecordAtMs: number;
  /** Monotonic time at or after which this replica got the last record of an owner before the newest claim. */
  private currentFormerRecordAtMs: number;
  private readonly recentRecords = RecentRecords.create();
  private readonly faultLog: RecordFaultLog;
  private waiters: { offset: number; resolve: (isReached: boolean) => void }[] = [];
  private isFollowing = true;
  /** Present after records that the replica needs have expired, until a snapshot has them. */
  private snapshotWait: SnapshotWait | undefined;
  /** Ends the wait of `run` for `resume` or `stop`. */
  private endPause: () => void = () => undefined;

  private constructor(private readonly options: Options) {
    this.faultLog = RecordFaultLog.create(options);
    this.state = CellState.create(options.retentionMs);
    this.currentAsOf = this.createUnknownInstant();
    this.ownerRecordAtMs = options.clock.monotonicMs();
    this.currentFormerRecordAtMs = this.ownerRecordAtMs;
  }

  /**
   * Monotonic time of this process by which all records of owners before the newest claim were in the log, as
   * early as this replica can tell.
   */
  get formerRecordAtMs(): number {
    return this.currentFormerRecordAtMs;
  }

  /** Upper bound of the age in ms of the replica. */
  ageMs(): number {
    return this.currentAsOf.ageMs();
  }

  /**
   * Time in ms since this process last reached the end of the log, however old the result was. It
   * shows whether this process reaches the log at all: a slow store returns old results, which does
   * not mean that the log is unreachable.
   */
  contactAgeMs(): number {
    return this.options.clock.monotonicMs() - this.lastContactAtMs;
  }

  /** Loads the snapshot and follows the log until `stop`. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      if (!this.isFollowing) {
        await new Promise<void>((resolve) => (this.endPause = resolve));
        continue;
      }
      if (!this.isLoaded) {
        await this.load();
        continue;
      }
      const sentAtMs = this.options.clock.monotonicMs();
      const isCaughtUp = await this.readOnce(READ_WAIT_MS);
      const remainingMs =
        this.options.readIntervalMs() - (this.options.clock.monotonicMs() - sentAtMs);
      if (isCaughtUp && remainingMs > 0) await this.pauseFor(remainingMs);
    }
  }

  stop(): void {
    this.isStopped = true;
    this.endPause();
  }

  /** Loads the snapshot and resumes following the log. */
  resume(): void {
    if (this.isFollowing) return;
    this.isFollowing = true;
    this.endPause();
  }

  /** Stops following the log. From then on the age of the replica is infinite. */
  pause(): void {
    this.isFollowing = false;
    this.unload();
    this.snapshotWait = undefined;
    this.appended.clear();
  }

  /**
   * Waits until the replica has applied every record that was in the log at the time of the call.
   * False if this is not reached within `timeoutMs`.
   */
  async sync(timeoutMs: number): Promise<boolean> {
    const result = await this.options.store.read(this.options.topic, this.state.nextOffset, 0);
    if (result.kind !== 'records') return false;
    const asOf = Instant.create(this.options.clock, result.ageMs);
    const isReached = await this.waitForOffset(result.end, timeoutMs);
    if (isReached) this.advanceAsOf(asOf);
    return isReached;
  }

  /**
   * Applies records that this process appended at `offset` as soon as all records before them are
   * applied, so that they need not be read. All records that were in the log at `sentAt`, before
   * the append, have lower offsets.
   */
  addAppended(offset: number, records: readonly Uint8Array[], sentAt: Instant): void {
    this.appended.set(offset, records);
    this.applyAppended();
    if (this.state.nextOffset === offset + records.length) {
      this.advanceAsOf(sentAt);
      this.lastContactAtMs = Math.max(
        this.lastContactAtMs,
        this.options.clock.monotonicMs() - sentAt.ageMs(),
      );
    } else this.scheduleReadUpTo(offset + records.length);
  }

  /** Returns the records from `offset` on; undefined when some of them are no longer kept. */
  recordsFrom(offset: number): Uint8Array[] | undefined {
    return this.recentRecords.readFrom(offset);
  }

  /**
   * Waits until all records before `offset` are applied; false if that takes longer than
   * `timeoutMs`.
   */
  waitForOffset(offset: number, timeoutMs: number): Promise<boolean> {
    if (this.state.nextOffset >= offset) return Promise.resolve(true);
    return new Promise((resolve) => {
      const waiter = { offset, resolve };
      this.waiters.push(waiter);
      this.options.clock.after(timeoutMs, () => {
        this.waiters = this.waiters.filter((other) => other !== waiter);
        resolve(false);
      });
    });
  }

  /**
   * Reads once more if the waiting read does not soon return the records up to `end`, which are in
   * the log: it may get no response for a second while the store deletes old records.
   */
  scheduleReadUpTo(end: number): void {
    if (this.isAdditionalReadScheduled || this.state.nextOffset >= end) return;
    this.isAdditionalReadScheduled = true;
    this.options.clock.after(ADDITIONAL_READ_DELAY_MS, () => {
      this.isAdditionalReadScheduled = false;
      if (this.state.nextOffset < end && !this.isStopped && this.isLoaded) void this.readOnce(0);
    });
  }

  /**
   * Loads the snapshot, or keeps the current state if it is newer. After records have expired, waits
   * for one of them to have these records while that is to be expected.
   */
  private async load(): Promise<void> {
    const { snapshots, retentionMs } = this.options;
    while (!this.isStopped && !this.isPaused()) {
      const state = await snapshots.read(() => CellState.create(retentionMs), retentionMs);
      if (this.isPaused()) return;
      if (state === undefined) {
        await this.pauseFor(RETRY_PAUSE_MS);
        continue;
      }
      const offset = Math.max(state.nextOffset, this.state.nextOffset);
      const wait = this.snapshotWait;
      if (wait !== undefined && offset < wait.requiredOffset && (await wait.isSnapshotExpected())) {
        await this.pauseFor(SNAPSHOT_POLL_PAUSE_MS);
        continue;
      }
      if (this.isPaused()) return;
      this.adopt(state);
      if (wait !== undefined) this.skipTo(wait.requiredOffset);
      this.snapshotWait = undefined;
      this.isLoaded = true;
      return;
    }
  }

  /** Replaces the state by that of a snapshot unless the current one is newer. */
  private adopt(state: CellState): void {
    if (state.nextOffset < this.state.nextOffset) return;
    this.state = state;
    this.ownerRecordAtMs = this.options.clock.monotonicMs();
    this.options.log('info', 'snapshot-loaded', {
      offset: state.nextOffset,
      jobs: state.jobs.size,
      endedJobs: state.ended.size,
      cellTimeMs: state.cellTimeMs,
    });
    this.options.onReloaded();
  }

  /** Continues at the offset without the expired records before it, if the state lacks them. */
  private skipTo(first: number): void {
    if (this.state.nextOffset >= first) return;
    this.options.log('error', 'records-lost', { next: this.state.nextOffset, first });
    this.state.nextOffset = first;
    this.ownerRecordAtMs = this.options.clock.monotonicMs();
    this.state.leaseEnds.isComplete = false;
  }

  private unload(): void {
    this.isLoaded = false;
    this.currentAsOf = this.createUnknownInstant();
    this.lastContactAtMs = Number.NEGATIVE_INFINITY;
  }

  /** Reads and applies records once. False when the next read should follow without a pause. */
  private async readOnce(waitMs: number): Promise<boolean> {
    const { readLog, topic, log } = this.options;
    const from = this.state.nextOffset;
    const result = await readLog(topic, from, waitMs);
    if (this.isStopped || !this.isLoaded) return true;
    if (result.kind === 'failed') {
      if (!this.isLogUnavailable)
        log('warn', 'cell-log-unavailable', {
          reason: result.reason,
          ageMs: Math.round(this.ageMs()),
        });
      this.isLogUnavailable = true;
      await this.pauseFor(RETRY_PAUSE_MS);
      return true;
    }
    if (this.isLogUnavailable) log('info', 'cell-log-available', { offset: this.state.nextOffset });
    this.isLogUnavailable = false;
    if (result.kind === 'expired') {
      if (this.state.nextOffset < result.first) this.reloadExpired(result.first);
      return false;
    }
    const asOf = Instant.create(this.options.clock, result.ageMs);
    // Another read may have returned some of these records meanwhile.
    const appliedCount = this.state.nextOffset - from;
    for (const data of result.records.slice(appliedCount)) this.applyRecord(data);
    this.applyAppended();
    this.resolveWaiters();
    if (this.state.nextOffset < result.end) return false;
    this.advanceAsOf(asOf);
    this.lastContactAtMs = this.options.clock.monotonicMs();
    return true;
  }

  /** Moves `currentAsOf` forward to `instant`, if that is later. */
  private advanceAsOf(instant: Instant): void {
    if (instant.ageMs() < this.currentAsOf.ageMs()) this.currentAsOf = instant;
  }

  private createUnknownInstant(): Instant {
    return Instant.create(this.options.clock, Number.POSITIVE_INFINITY);
  }

  /** Applies those appended records that directly follow the records applied so far. */
  private applyAppended(): void {
    for (let mayApplyMore = true; mayApplyMore;) {
      mayApplyMore = false;
      for (const [offset, records] of this.appended) {
        const appliedCount = this.state.nextOffset - offset;
        if (appliedCount < 0) continue;
        this.appended.delete(offset);
        for (const data of records.slice(appliedCount)) this.applyRecord(data);
        mayApplyMore = true;
      }
    }
    this.resolveWaiters();
  }

  private applyRecord(data: Uint8Array): void {
    const offset = this.state.nextOffset;
    this.recentRecords.add(offset, data);
    const record = recordCodec.decode(data);
    if (record?.kind === 'claim') this.currentFormerRecordAtMs = this.ownerRecordAtMs;
    if (record?.kind !== 'job' && record?.kind !== 'cancel')
      this.ownerRecordAtMs = this.options.clock.monotonicMs();
    if (record === undefined) {
      this.faultLog.write('unreadable', 'error', 'record-unreadable', {
        offset,
        bytes: data.byteLength,
      });
      this.state.nextOffset += 1;
      return;
    }
    try {
      const isEffective = this.state.apply(record);
      this.options.onApplied(record, isEffective, offset);
    } catch (error) {
      // Every replica reads the same record; if all stopped at it, the cell would stop.
      this.state.nextOffset = offset + 1;
      const { kind } = record;
      this.faultLog.write(kind, 'error', 'record-not-applied', {
        offset,
        kind,
        error: String(error),
      });
    }
  }

  /** Makes `run` load a snapshot, because the log no longer has the next record. */
  private reloadExpired(first: number): void {
    const { clock, store, topic, log } = this.options;
    log('warn', 'cell-log-expired', { next: this.state.nextOffset, first });
    this.unload();
    this.snapshotWait = SnapshotWait.create({ clock, store, topic, first });
    this.options.onReloaded();
  }

  private resolveWaiters(): void {
    if (this.waiters.length === 0) return;
    const reachedWaiters = this.waiters.filter((waiter) => waiter.offset <= this.state.nextOffset);
    this.waiters = this.waiters.filter((waiter) => waiter.offset > this.state.nextOffset);
    for (const waiter of reachedWaiters) waiter.resolve(true);
  }

  /**
   * A method, because the compiler assumes that the field keeps its value during an `await`, while
   * `pause` may be called.
   */
  private isPaused(): boolean {
    return !this.isFollowing;
  }

  private pauseFor(ms: number): Promise<void> {
    return new Promise((resolve) => this.options.clock.after(ms, resolve));
  }
}
