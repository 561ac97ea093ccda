import type { Clock } from '@acaciahoist/clock';
import type { Instant } from '@acaciahoist/clock/instant';
import type { AppendOutcome } from '@acaciahoist/cell-log/append-outcome';
import type { CellReplica } from '@acaciahoist/cell-log';
import type { SnapshotStore } from '@acaciahoist/cell-log/snapshot-store';
import { CellOwner } from '@acaciahoist/cell-owner';
import type { TeamBacklog } from '@acaciahoist/cell-owner/team-backlog';
import type { JobExplanation } from '@acaciahoist/cell-owner/job-explanation';
import type { PlacementExplanation } from '@acaciahoist/cell-owner/placement-explanation';
import type { CellJob } from '@acaciahoist/cell-types';
import type { AdviceClient } from '@acaciahoist/cell-types/advice-client';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import type { WorkerClient } from '@acaciahoist/cell-types/worker-client';
import type { WorkerEntry } from '@acaciahoist/cell-types/worker-entry';
import type { Team } from '@acaciahoist/cell-types/team';
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
  /** No claim with this token was sent before this time. */
  claimSentAt: Instant;
  workers: WorkerDirectory;
  connect: (entry: WorkerEntry) => WorkerClient;
  advise: AdviceClient;
  /** Event-loop delay of the process in ms. */
  loopDelayMs: () => number;
  /** Teams of the configuration in force; undefined while none has been read. */
  teams: () => readonly Team[] | undefined;
  /** Longest lease in ms that a worker grants. */
  maxLeaseMs: number;
  /** The store or a worker has received a higher token. */
  onFenced: (by: 'store' | 'worker') => void;
}

/** Time in ms within which every running process reports itself to a new owner. */
const REPORT_COLLECTION_MS = 1_500;
/** Maximum time in ms for which a stopping owner waits until its release is stored. */
const RELEASE_TIMEOUT_MS = 700;

/** Runs the owner and its writer while this process owns the cell under one token. */
export class OwnerTerm {
  static create(options: Options): OwnerTerm {
    return new OwnerTerm(options);
  }

  readonly startedAtMs: number;
  private readonly writer: OwnerWriter;
  private readonly owner: CellOwner;

  private constructor(private readonly options: Options) {
    const { clock, log, count, store, topics, snapshots, replica, token, onFenced } = options;
    this.startedAtMs = clock.monotonicMs();
    this.writer = OwnerWriter.create({
      clock,
      store,
      log,
      topics,
      token,
      claimSentAt: options.claimSentAt,
      snapshots,
      state: () => replica.state,
      loopDelayMs: options.loopDelayMs,
      onFenced: () => {
        onFenced('store');
      },
      onAppended: (offset, records, sentAt) => {
        replica.addAppended(offset, records, sentAt);
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
      lastAppendAgeMs: () => this.writer.lastAppendAgeMs(),
      loopDelayMs: options.loopDelayMs,
      teams: options.teams,
      maxLeaseMs: options.maxLeaseMs,
      claimedAtMs: this.startedAtMs,
      formerRecordAtMs: replica.formerRecordAtMs,
      connect: options.connect,
      advise: options.advise,
      onFenced: () => {
        onFenced('worker');
      },
    });
  }

  /** Starts the writer and the owner, which receives all worker entries from now on. */
  start(): void {
    this.writer.start();
    this.owner.start();
    this.options.workers.attach({
      onEntry: (entry, readAtMs) => {
        this.owner.updateWorker(entry, readAtMs);
      },
      onUnreadable: (id) => {
        this.owner.markEntryUnreadable(id);
      },
      onRemoved: (id) => {
        this.owner.markEntryMissing(id);
      },
      onReloaded: (ids) => {
        this.owner.markMissingEntries(ids);
      },
    });
  }

  /** Stops the owner and the writer at once, without a release of the cell. */
  stop(): void {
    this.owner.stop();
    this.writer.stop();
    this.options.workers.detach();
  }

  /** Stops the owner and appends a release, after which another process may claim the cell at once. */
  async release(): Promise<void> {
    this.owner.stop();
    const released = this.writer.append([{ kind: 'release' }]);
    const timeout = new Promise<void>((resolve) =>
      this.options.clock.after(RELEASE_TIMEOUT_MS, resolve),
    );
    await Promise.race([released, timeout]);
  }

  /** Must be called for every record of the cell log, after it was applied. */
  observe(record: CellRecord, isEffective: boolean): void {
    this.owner.observe(record, isEffective);
  }

  /** Adds a process that offers to call the advice service. */
  addHelper(address: string, advise: AdviceClient): void {
    this.owner.addAdviceHelper(address, advise);
  }

  /** True once all running processes have had time to report themselves to this owner. */
  areReportsComplete(): boolean {
    return this.options.clock.monotonicMs() - this.startedAtMs >= REPORT_COLLECTION_MS;
  }

  /** Writes the owner hint, from which starting processes read the addresses of owner and standbys. */
  writeHint(record: Uint8Array): void {
    this.writer.writeHint(record);
  }

  /** Appends a record of a client together with the owner's records; undefined when it would have to wait. */
  appendForClient(data: Uint8Array): Promise<AppendOutcome | undefined> {
    return this.writer.appendForClient(data);
  }

  /** Time in ms that an append to the cell log takes at present; undefined while appends fail. */
  appendTimeMs(): number | undefined {
    return this.writer.appendTimeMs();
  }

  /** Returns what the owner knows of the teams while room is short; undefined while it is not. */
  findTeamBacklog(): TeamBacklog | undefined {
    return this.owner.findTeamBacklog();
  }

  /** Explains why a job that has not ended waits; undefined for any other id. */
  explainJob(id: string): JobExplanation | undefined {
    return this.owner.explainJob(id);
  }

  /** Explains where a job that is not in the log would go now. */
  explainPlacement(job: CellJob): PlacementExplanation {
    return this.owner.explainPlacement(job);
  }

  /** Returns the state of the owner for operators. */
  describe(): Record<string, unknown> {
    return this.owner.describe();
  }
}
