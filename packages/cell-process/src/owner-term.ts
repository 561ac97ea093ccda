import type { Clock } from '@acaciahoist/clock';
import type { AppendOutcome } from '@acaciahoist/cell-log/append-outcome';
import type { CellReplica } from '@acaciahoist/cell-log';
import { KeyedFollower } from '@acaciahoist/cell-log/keyed-follower';
import type { SnapshotStore } from '@acaciahoist/cell-log/snapshot-store';
import { CellOwner } from '@acaciahoist/cell-owner';
import type { AdviceClient } from '@acaciahoist/cell-types/advice-client';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import type { WorkerClient } from '@acaciahoist/cell-types/worker-client';
import type { WorkerEntry } from '@acaciahoist/cell-types/worker-entry';
import type { EventLog } from '@acaciahoist/types/event-log';
import { OwnerLog } from './owner-log.js';

interface Options {
  clock: Clock;
  log: EventLog;
  count: (name: string, by?: number) => void;
  store: LogStore;
  topics: { cell: string; snapshots: string; hints: string; workers: string };
  snapshots: SnapshotStore;
  replica: CellReplica;
  token: number;
  decodeWorkerEntry: (id: string, data: Uint8Array) => WorkerEntry | undefined;
  connect: (entry: WorkerEntry) => WorkerClient;
  advise: AdviceClient;
  /** Delay in ms with which the process gets to its work. */
  loopDelayMs: () => number;
  /** The store or a worker has seen a higher token. */
  onFenced: (by: 'store' | 'worker') => void;
}

/** Time in ms between two reads of worker entries; a drain must be known well within 2 s. */
const WORKERS_GAP_MS = 250;
/** Entries are read again in full at this interval in ms, so that missing ones are noticed. */
const WORKERS_RELOAD_MS = 2_500;
/** A new owner has heard of all other processes after this time in ms. */
const MIN_OWNED_MS = 1_500;
/** Longest time in ms that a stopping owner waits until its release is stored. */
const RELEASE_MS = 700;

/** What runs in a process for as long as it owns the cell under one token. */
export class OwnerTerm {
  static create(options: Options): OwnerTerm {
    return new OwnerTerm(options);
  }

  readonly startedMs: number;
  private readonly log: OwnerLog;
  private readonly owner: CellOwner;
  private readonly workers: KeyedFollower;

  private constructor(private readonly options: Options) {
    const { clock, log, count, store, topics, snapshots, replica, token, onFenced } = options;
    this.startedMs = clock.monotonicMs();
    this.log = OwnerLog.create({
      clock,
      store,
      log,
      topics,
      token,
      snapshots,
      state: () => replica.state,
      onFenced: () => {
        onFenced('store');
      },
      onAppended: (offset, records, sentMs) => {
        replica.takeAppended(offset, records, sentMs);
      },
    });
    this.owner = CellOwner.create({
      clock,
      log,
      count,
      state: replica.state,
      token,
      append: (records) => {
        void this.log.append(records);
      },
      storeSilentMs: () => this.log.silentMs(),
      loopDelayMs: options.loopDelayMs,
      connect: options.connect,
      advise: options.advise,
      onFenced: () => {
        onFenced('worker');
      },
    });
    this.workers = KeyedFollower.create({
      clock,
      store,
      log,
      topic: topics.workers,
      waitMs: 0,
      gapMs: WORKERS_GAP_MS,
      reloadMs: WORKERS_RELOAD_MS,
      onRecord: (record) => {
        this.takeWorker(record.key, record.value);
      },
      onReloaded: (records) => {
        for (const record of records) this.takeWorker(record.key, record.value);
        this.owner.workersPresent(new Set(records.map((record) => record.key)));
      },
    });
  }

  start(): void {
    this.log.start();
    this.owner.start();
    void this.workers.run();
  }

  stop(): void {
    this.owner.stop();
    this.log.stop();
    this.workers.stop();
  }

  /** Stops the work and records that another process may claim the cell. */
  async release(): Promise<void> {
    this.owner.stop();
    const released = this.log.append([{ kind: 'release' }]);
    const timeout = new Promise<void>((resolve) => this.options.clock.after(RELEASE_MS, resolve));
    await Promise.race([released, timeout]);
  }

  /** To be called for every record of the cell log, after it was applied. */
  observe(record: CellRecord, effective: boolean): void {
    this.owner.observe(record, effective);
  }

  /** Another process offers to call the advice service. */
  helperSeen(address: string, ask: AdviceClient): void {
    this.owner.helperSeen(address, ask);
  }

  /** True once all processes that live had the time to report themselves. */
  knowsOthers(): boolean {
    return this.options.clock.monotonicMs() - this.startedMs >= MIN_OWNED_MS;
  }

  /** Writes down where processes that start find the owner and its standbys. */
  announce(record: Uint8Array): void {
    this.log.announce(record);
  }

  /** Appends a record of a client together with the owner's own; undefined when it would have to wait. */
  appendForClient(data: Uint8Array): Promise<AppendOutcome | undefined> {
    return this.log.appendForClient(data);
  }

  describe(): Record<string, unknown> {
    return this.owner.describe();
  }

  private takeWorker(id: string, value: Uint8Array | undefined): void {
    if (value === undefined) {
      this.owner.workerMissing(id);
      return;
    }
    const entry = this.options.decodeWorkerEntry(id, value);
    if (entry === undefined)
      this.options.log('warn', 'worker-entry-unreadable', { worker: id, bytes: value.byteLength });
    else this.owner.workerSeen(entry);
  }
}
