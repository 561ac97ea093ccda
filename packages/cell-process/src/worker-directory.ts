import type { Clock } from '@acaciahoist/clock';
import { KeyedFollower } from '@acaciahoist/cell-log/keyed-follower';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import type { WorkerEntry } from '@acaciahoist/cell-types/worker-entry';
import type { EventLog } from '@acaciahoist/types/event-log';

interface Options {
  clock: Clock;
  log: EventLog;
  store: Pick<LogStore, 'readNewest' | 'read' | 'decodeKeyed'>;
  topic: string;
  /** Decodes the entry of a worker; undefined for malformed bytes. */
  decode: (id: string, data: Uint8Array) => WorkerEntry | undefined;
}

/** Receives the entries while this process owns the cell. */
interface EntryListener {
  /** An entry that is new, changed or read again. */
  onEntry: (entry: WorkerEntry) => void;
  onRemoved: (id: string) => void;
  /** The ids of all entries in the store, after these were read in full. */
  onReloaded: (ids: ReadonlySet<string>) => void;
}

/** Minimum time in ms between two reads by an owner, which must notice within 2 s that a worker drains. */
const OWNER_READ_INTERVAL_MS = 250;
/**
 * Minimum time in ms between two reads by a standby. It is enough for it to have most of the entries when it
 * becomes owner.
 */
const STANDBY_READ_INTERVAL_MS = 1_000;
/** Interval in ms at which an owner reads all entries again, to notice removed ones. */
const OWNER_RELOAD_INTERVAL_MS = 2_500;
/** Interval in ms at which a standby reads all entries again. */
const STANDBY_RELOAD_INTERVAL_MS = 10_000;

/**
 * Follows the topic of the worker entries and keeps the newest entry of each worker. Standbys follow it too:
 * a new owner that first had to read the entries of hundreds of workers would start no tasks until then.
 */
export class WorkerDirectory {
  static create(options: Options): WorkerDirectory {
    return new WorkerDirectory(options);
  }

  private readonly entries = new Map<string, WorkerEntry>();
  private listener: EntryListener | undefined;
  private follower: KeyedFollower | undefined;

  private constructor(private readonly options: Options) {}

  /** Starts to follow the entries; does nothing if they are followed already. */
  startFollowing(): void {
    if (this.follower !== undefined) return;
    const { clock, log, store, topic } = this.options;
    this.follower = KeyedFollower.create({
      clock,
      store,
      log,
      topic,
      waitMs: 0,
      readIntervalMs: () =>
        this.listener === undefined ? STANDBY_READ_INTERVAL_MS : OWNER_READ_INTERVAL_MS,
      reloadIntervalMs: () =>
        this.listener === undefined ? STANDBY_RELOAD_INTERVAL_MS : OWNER_RELOAD_INTERVAL_MS,
      onRecord: (record) => {
        this.applyEntry(record.key, record.value);
      },
      onReloaded: (records) => {
        const ids = new Set(records.map((record) => record.key));
        for (const id of this.entries.keys()) if (!ids.has(id)) this.entries.delete(id);
        for (const record of records) this.applyEntry(record.key, record.value);
        this.listener?.onReloaded(ids);
      },
    });
    void this.follower.run();
  }

  /** Stops following the entries and drops them. */
  stopFollowing(): void {
    this.follower?.stop();
    this.follower = undefined;
    this.entries.clear();
  }

  /**
   * Passes the entries that are already read to the listener of the owner at once, and reads all entries
   * again as soon as possible.
   */
  attach(listener: EntryListener): void {
    this.startFollowing();
    this.listener = listener;
    for (const entry of this.entries.values()) listener.onEntry(entry);
    this.follower?.reloadNow();
  }

  /** Removes the listener, when this process no longer owns the cell; entries are still followed. */
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
