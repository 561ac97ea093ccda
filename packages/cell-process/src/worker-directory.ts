import type { Clock } from '@acaciahoist/clock';
import { KeyedFollower } from '@acaciahoist/cell-log/keyed-follower';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import type { WorkerEntry } from '@acaciahoist/cell-types/worker-entry';
import type { EventLog } from '@acaciahoist/types/event-log';

interface Options {
  clock: Clock;
  log: EventLog;
  store: Pick<LogStore, 'newest' | 'read' | 'decodeKeyed'>;
  topic: string;
  decode: (id: string, data: Uint8Array) => WorkerEntry | undefined;
}

/** Who takes the entries while this process owns the cell. */
interface EntryListener {
  onEntry: (entry: WorkerEntry) => void;
  onRemoved: (id: string) => void;
  /** All entries that are present. */
  onAllPresent: (ids: ReadonlySet<string>) => void;
}

/** Time in ms between two reads for an owner; a drain must be known well within 2 s. */
const OWNER_READ_INTERVAL_MS = 250;
/** The same for a standby, which only wants to begin with most of the entries. */
const STANDBY_READ_INTERVAL_MS = 1_000;
/** Entries are read again in full at this interval in ms, so that missing ones are noticed. */
const OWNER_RELOAD_INTERVAL_MS = 2_500;
const STANDBY_RELOAD_INTERVAL_MS = 10_000;

/**
 * The entries of the workers. Standbys follow them too: a new owner that first had to read the entries
 * of hundreds of workers would start nothing meanwhile.
 */
export class WorkerDirectory {
  static create(options: Options): WorkerDirectory {
    return new WorkerDirectory(options);
  }

  private readonly entries = new Map<string, WorkerEntry>();
  private listener: EntryListener | undefined;
  private follower: KeyedFollower | undefined;

  private constructor(private readonly options: Options) {}

  /** Begins to follow the entries. */
  startFollowing(): void {
    if (this.follower !== undefined) return;
    const { clock, log, store, topic } = this.options;
    this.follower = KeyedFollower.create({
      clock,
      store,
      log,
      topic,
      waitMs: 0,
      gapMs: () =>
        this.listener === undefined ? STANDBY_READ_INTERVAL_MS : OWNER_READ_INTERVAL_MS,
      reloadMs: () =>
        this.listener === undefined ? STANDBY_RELOAD_INTERVAL_MS : OWNER_RELOAD_INTERVAL_MS,
      onRecord: (record) => {
        this.applyEntry(record.key, record.value);
      },
      onReloaded: (records) => {
        const present = new Set(records.map((record) => record.key));
        for (const id of this.entries.keys()) if (!present.has(id)) this.entries.delete(id);
        for (const record of records) this.applyEntry(record.key, record.value);
        this.listener?.onAllPresent(present);
      },
    });
    void this.follower.run();
  }

  /** Stops following, and forgets the entries. */
  stopFollowing(): void {
    this.follower?.stop();
    this.follower = undefined;
    this.entries.clear();
  }

  /** Hands all entries to the owner of the cell, as they are known and from the store as soon as possible. */
  attach(listener: EntryListener): void {
    this.startFollowing();
    this.listener = listener;
    for (const entry of this.entries.values()) listener.onEntry(entry);
    this.follower?.reloadSoon();
  }

  detach(): void {
    this.listener = undefined;
  }

  private applyEntry(id: string, value: Uint8Array | undefined): void {
    if (value === undefined) {
      this.entries.delete(id);
      this.listener?.onRemoved(id);
      return;
    }
    const entry = this.options.decode(id, value);
    if (entry === undefined) {
      const { log } = this.options;
      log('warn', 'worker-entry-unreadable', { worker: id, bytes: value.byteLength });
      return;
    }
    this.entries.set(id, entry);
    this.listener?.onEntry(entry);
  }
}
