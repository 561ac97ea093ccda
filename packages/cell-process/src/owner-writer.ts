import type { Clock } from '@acaciahoist/clock';
import { Instant } from '@acaciahoist/clock/instant';
import { AppendOutcome } from '@acaciahoist/cell-log/append-outcome';
import { Appender } from '@acaciahoist/cell-log/appender';
import { CellOwnership } from '@acaciahoist/cell-log/cell-ownership';
import type { SnapshotStore } from '@acaciahoist/cell-log/snapshot-store';
import { limits } from '@acaciahoist/cell-owner/limits';
import type { CellState } from '@acaciahoist/cell-state';
import { recordCodec } from '@acaciahoist/cell-state/record-codec';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import type { EventLog } from '@acaciahoist/types/event-log';

interface Options {
  clock: Clock;
  store: Pick<LogStore, 'append'>;
  log: EventLog;
  topics: { cell: string; snapshots: string; hints: string };
  token: number;
  /** No claim with this token was sent before this time. */
  claimSentAt: Instant;
  snapshots: SnapshotStore;
  state: () => CellState;
  /** A producer with a higher epoch has appended, or the sequence numbers do not match the store's. */
  onFenced: () => void;
  /** Event-loop delay of the process in ms. */
  loopDelayMs: () => number;
  /** The store has appended records to the cell log at `offset`; no attempt was sent before `sentAt`. */
  onAppended: (offset: number, records: readonly Uint8Array[], sentAt: Instant) => void;
}

/**
 * Writes what an owner stores under its epoch: records of the cell, renewals of its claim, snapshots and the
 * owner hint.
 */
export class OwnerWriter {
  /** Must be called when the process has applied its claim, since the time of its term counts from then. */
  static create(options: Options): OwnerWriter {
    return new OwnerWriter(options);
  }

  private readonly cellAppender: Appender;
  private readonly snapshotAppender: Appender;
  private readonly hintAppender: Appender;
  /**
   * Outstanding appends of jobs, by job: a repeated submission waits for the first one. Another record of the job would
   * add to the load of a slow store, and its refusal would not be true while the first may be stored.
   */
  private readonly outstandingJobs = new Map<string, Promise<AppendOutcome>>();
  private readonly cancelTimers: (() => void)[] = [];
  private isStopped = false;
  private isRenewing = false;
  private isWritingSnapshot = false;
  /** Time at which the newest of the acknowledged appends was sent. */
  private newestAcknowledgedSentAt: Instant;
  /** Monotonic time at which this process applied its claim. */
  private readonly claimedAtMs: number;

  private constructor(private readonly options: Options) {
    const { clock, store, log, topics, token, onFenced } = options;
    // The claim may have been in the log for seconds before this process read it.
    this.newestAcknowledgedSentAt = options.claimSentAt;
    this.claimedAtMs = clock.monotonicMs();
    const commonOptions = { clock, store, log, epoch: token, repeatsRefused: true, onFenced };
    const producer = CellOwnership.producer;
    // The claim was the append with sequence number 0.
    this.cellAppender = Appender.create({
      ...commonOptions,
      topic: topics.cell,
      producer,
      sequence: 1,
      lingerMs: () => Math.min(limits.maxLingerMs, limits.lingerMs + options.loopDelayMs()),
      onAppended: options.onAppended,
    });
    this.snapshotAppender = Appender.create({
      ...commonOptions,
      topic: topics.snapshots,
      producer,
      sequence: 0,
    });
    this.hintAppender = Appender.create({
      ...commonOptions,
      topic: topics.hints,
      producer,
      sequence: 0,
    });
  }

  /** Starts the renewals of the claim and the snapshots. */
  start(): void {
    this.options.snapshots.setWriter(`${this.options.token}`);
    this.scheduleRepeat(0, limits.renewMs, limits.renewMs, () => {
      void this.renew();
    });
    this.scheduleRepeat(1, limits.firstSnapshotDelayMs, limits.snapshotIntervalMs, () => {
      void this.writeSnapshot();
    });
  }

  /** Stops all writing; records that wait for an append are not written. */
  stop(): void {
    this.isStopped = true;
    for (const cancel of this.cancelTimers) cancel();
    this.cellAppender.close();
    this.snapshotAppender.close();
    this.hintAppender.close();
  }

  /** Time in ms since the newest acknowledged append was sent. */
  lastAppendAgeMs(): number {
    return this.newestAcknowledgedSentAt.ageMs();
  }

  /** Appends records to the cell log; resolves when their result is known. */
  async append(records: CellRecord[]): Promise<void> {
    const sentAt = Instant.create(this.options.clock);
    const outcome = await this.cellAppender.append(
      records.map((record) => recordCodec.encode(record)),
    );
    if (outcome !== AppendOutcome.appended) return;
    if (sentAt.ageMs() <= this.newestAcknowledgedSentAt.ageMs())
      this.newestAcknowledgedSentAt = sentAt;
  }

  /** Appends a record for a client; undefined while appends fail, as the record would have to wait. */
  async appendForClient(data: Uint8Array): Promise<AppendOutcome | undefined> {
    const record = recordCodec.decode(data);
    const id = record?.kind === 'job' ? record.job.id : undefined;
    const outstanding = id === undefined ? undefined : this.outstandingJobs.get(id);
    if (outstanding !== undefined) return outstanding;
    if (this.cellAppender.isFailing) return undefined;
    const append = this.cellAppender.appendLater([data]);
    if (id === undefined) return append;
    const tracked = append.finally(() => this.outstandingJobs.delete(id));
    this.outstandingJobs.set(id, tracked);
    return tracked;
  }

  /**
   * Time in ms that an append to the cell log takes at present; undefined while attempts are refused or not answered,
   * since another process may reach the store then.
   */
  appendTimeMs(): number | undefined {
    return this.cellAppender.isFailing ? undefined : this.cellAppender.appendTimeMs;
  }

  /** Writes the owner hint, from which starting processes read the addresses of owner and standbys. */
  writeHint(record: Uint8Array): void {
    // A hint is not queued behind another one, because it would be stale when it is sent.
    if (this.hintAppender.waitingCount === 0) void this.hintAppender.append([record]);
  }

  private async renew(): Promise<void> {
    if (this.isRenewing) return;
    this.isRenewing = true;
    const { clock, token, state } = this.options;
    await this.append([
      {
        kind: 'renew',
        wallMs: clock.wallMs(),
        token,
        termMs: Math.floor(clock.monotonicMs() - this.claimedAtMs),
        asOfOffset: state().nextOffset,
      },
    ]);
    this.isRenewing = false;
  }

  private async writeSnapshot(): Promise<void> {
    if (this.isWritingSnapshot) return;
    this.isWritingSnapshot = true;
    const { snapshots, state, log } = this.options;
    const offset = state().nextOffset;
    try {
      const isWritten = await snapshots.write(state(), (records) =>
        this.snapshotAppender.append(records),
      );
      if (!isWritten && !this.isStopped) log('warn', 'snapshot-not-written', { offset });
    } catch (error) {
      // A state that cannot be encoded now may be at the next interval, when its jobs have ended.
      log('error', 'snapshot-not-written', { offset, error: String(error) });
    } finally {
      this.isWritingSnapshot = false;
    }
  }

  /**
   * Calls `run` after the delay and then at the interval until `stop`; `timerIndex` is the place of the timer
   * in `cancelTimers`.
   */
  private scheduleRepeat(
    timerIndex: number,
    delayMs: number,
    intervalMs: number,
    run: () => void,
  ): void {
    this.cancelTimers[timerIndex] = this.options.clock.after(delayMs, () => {
      run();
      if (!this.isStopped) this.scheduleRepeat(timerIndex, intervalMs, intervalMs, run);
    });
  }
}
