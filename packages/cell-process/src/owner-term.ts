import type { Clock } from '@acaciahoist/clock';
import type { AppendOutcome } from '@acaciahoist/cell-log/append-outcome';
import type { CellReplica } from '@acaciahoist/cell-log';
import type { SnapshotStore } from '@acaciahoist/cell-log/snapshot-store';
import { CellOwner } from '@acaciahoist/cell-owner';
import type { AdviceClient } from '@acaciahoist/cell-types/advice-client';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import type { WorkerClient } from '@acaciahoist/cell-types/worker-client';
import type { WorkerEntry } from '@acaciahoist/cell-types/worker-entry';
import type { EventLog } from '@acaciahoist/types/event-log';
import { OwnerWriter } from './owner-writer.js';
import type { WorkerDirectory } from './worker-directory.js';

interface Options {
  clock: Clock;
  log: EventLog;
  count: (name: string, by?: number) => void;
  store: LogStore;
  topics: { cell: string; snapshots: string; hints: string };
  snapshots: SnapshotStore;
  replica: CellReplica;
  token: number;
  workers: WorkerDirectory;
  connect: (entry: WorkerEntry) => WorkerClient;
  advise: AdviceClient;
  /** Event-loop delay of the process in ms. */
  loopDelayMs: () => number;
  /** The store or a worker has received a higher token. */
  onFenced: (by: 'store' | 'worker') => void;
}

/** Time in ms after which all running processes have reported themselves to a new owner. */
const ALL_REPORTED_MS = 1_500;
/** Longest time in ms for which a stopping owner waits until its release is stored. */
const RELEASE_TIMEOUT_MS = 700;

/** OwnerTerm runs the owner and its writer while this process owns the cell under one token. */
export class OwnerTerm {
  static create(options: Options): OwnerTerm {
    return new OwnerTerm(options);
  }

  readonly startedMs: number;
  private readonly writer: OwnerWriter;
  private readonly owner: CellOwner;

  private constructor(private readonly options: Options) {
    const { clock, log, count, store, topics, snapshots, replica, token, onFenced } = options;
    this.startedMs = clock.monotonicMs();
    this.writer = OwnerWriter.create({
      clock,
      store,
      log,
      topics,
      token,
      snapshots,
      state: () => replica.state,
      loopDelayMs: options.loopDelayMs,
      onFenced: () => {
        onFenced('store');
      },
      onAppended: (offset, records, sent) => {
        replica.addAppended(offset, records, sent);
      },
    });
    this.owner = CellOwner.create({
      clock,
      log,
      count,
      state: replica.state,
      token,
      append: (records) => {
        void this.writer.append(records);
      },
      storeSilentMs: () => this.writer.acknowledgedAgeMs(),
      loopDelayMs: options.loopDelayMs,
      connect: options.connect,
      advise: options.advise,
      onFenced: () => {
        onFenced('worker');
      },
    });
  }

  start(): void {
    this.writer.start();
    this.owner.start();
    this.options.workers.attach({
      onEntry: (entry) => {
        this.owner.updateWorker(entry);
      },
      onRemoved: (id) => {
        this.owner.markEntryRemoved(id);
      },
      onAllPresent: (ids) => {
        this.owner.markAbsentWorkers(ids);
      },
    });
  }

  stop(): void {
    this.owner.stop();
    this.writer.stop();
    this.options.workers.detach();
  }

  /** Stops the owner and writes that another process may claim the cell. */
  async release(): Promise<void> {
    this.owner.stop();
    const released = this.writer.append([{ kind: 'release' }]);
    const timeout = new Promise<void>((resolve) =>
      this.options.clock.after(RELEASE_TIMEOUT_MS, resolve),
    );
    await Promise.race([released, timeout]);
  }

  /** To be called for every record of the cell log, after it was applied. */
  observe(record: CellRecord, effective: boolean): void {
    this.owner.observe(record, effective);
  }

  /** Notes that another process offers to call the advice service. */
  addHelper(address: string, advise: AdviceClient): void {
    this.owner.addAdviceHelper(address, advise);
  }

  /** True once all running processes have had the time to report themselves. */
  knowsAllProcesses(): boolean {
    return this.options.clock.monotonicMs() - this.startedMs >= ALL_REPORTED_MS;
  }

  /** Writes the owner hint, from which starting processes read the addresses of the owner and its standbys. */
  writeHint(record: Uint8Array): void {
    this.writer.writeHint(record);
  }

  /** Appends a record of a client together with the owner's records; undefined when it would have to wait. */
  appendForClient(data: Uint8Array): Promise<AppendOutcome | undefined> {
    return this.writer.appendForClient(data);
  }

  describe(): Record<string, unknown> {
    return this.owner.describe();
  }
}
