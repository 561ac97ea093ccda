import type { Clock } from '@acaciahoist/clock';
import { KeyedFollower } from '@acaciahoist/cell-log/keyed-follower';
import { RecordFaultLog } from '@acaciahoist/cell-log/record-fault-log';
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
  /** An entry that is new, changed or read again; it was first read at the monotonic time `readAtMs`. */
  onEntry: (entry: WorkerEntry, readAtMs: number) => void;
  /** An entry that cannot be decoded; for a known worker it replaces a readable one. */
  onUnreadable: (id: string) => void;
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
 * Time in ms for which a former entry is kept beside one of a later incarnation: a worker that has started anew
 * answers an owner long before.
 */
const FORMER_ENTRY_RETENTION_MS = 60_000;

interface ReadEntry {
  entry: WorkerEntry;
  /** Monotonic time at which the entry was read first. */
  readAtMs: number;
}

interface KnownEntry extends ReadEntry {
  /** The entry of an earlier incarnation or with another address that this one has followed. */
  former: ReadEntry | undefined;
  /** False when an unreadable entry has followed it. */
  isNewest: boolean;
}

/**
 * Follows the topic of the worker entries and keeps the newest entry of each worker. Standbys follow it too:
 * a new owner that first had to read the entries of hundreds of workers would start no tasks until then.
 */
export class WorkerDirectory {
  static create(options: Options): WorkerDirectory {
    return new WorkerDirectory(options);
  }

  /**
   * The newest readable entry of each worker, and whether it is the newest entry. A worker whose newest entry is
   * unreadable may have runs, which a new owner must find, and so may one whose newest entry names a later
   * incarnation or another address: another program may have written either.
   */
  private readonly entries = new Map<string, KnownEntry>();
  private listener: EntryListener | undefined;
  private follower: KeyedFollower | undefined;

  private readonly faultLog: RecordFaultLog;

  private constructor(private readonly options: Options) {
    this.faultLog = RecordFaultLog.create(options);
  }

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
      onReloaded: (ids) => {
        for (const id of this.entries.keys()) if (!ids.has(id)) this.entries.delete(id);
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
    const nowMs = this.options.clock.monotonicMs();
    for (const { entry, readAtMs, former, isNewest } of this.entries.values())
      this.callListener(entry, () => {
        if (former !== undefined && nowMs - readAtMs < FORMER_ENTRY_RETENTION_MS)
          listener.onEntry(former.entry, former.readAtMs);
        listener.onEntry(entry, readAtMs);
        if (!isNewest) listener.onUnreadable(entry.id);
      });
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
    const entry = this.decode(id, value);
    const known = this.entries.get(id);
    if (entry === undefined) {
      if (known !== undefined) known.isNewest = false;
      this.listener?.onUnreadable(id);
      return;
    }
    // The same remaining time as before means that the entry was read again and not published anew.
    const isReadAgain =
      known?.entry.born === entry.born && known.entry.leavesInMs === entry.leavesInMs;
    const readAtMs = isReadAgain ? known.readAtMs : this.options.clock.monotonicMs();
    this.entries.set(id, { entry, readAtMs, former: findFormer(entry, known), isNewest: true });
    this.callListener(entry, () => this.listener?.onEntry(entry, readAtMs));
  }

  /** Decodes an entry; logs one that is unreadable and returns undefined. */
  private decode(id: string, value: Uint8Array): WorkerEntry | undefined {
    let error = 'malformed';
    try {
      const entry = this.options.decode(id, value);
      if (entry !== undefined) return entry;
    } catch (thrown) {
      error = String(thrown);
    }
    const bytes = value.byteLength;
    this.faultLog.write(id, 'warn', 'worker-entry-unreadable', { worker: id, bytes, error });
    return undefined;
  }

  /** Calls the listener for an entry. An entry for which it throws affects no other worker. */
  private callListener(entry: WorkerEntry, call: () => void): void {
    try {
      call();
    } catch (thrown) {
      const fields = { worker: entry.id, address: entry.address, error: String(thrown) };
      this.faultLog.write(entry.id, 'error', 'worker-entry-not-used', fields);
    }
  }
}

/** Returns the former entry to keep beside the entry that was read after `known`. */
function findFormer(entry: WorkerEntry, known: KnownEntry | undefined): ReadEntry | undefined {
  if (known === undefined || known.entry.born > entry.born) return undefined;
  const isSame = known.entry.born === entry.born && known.entry.address === entry.address;
  if (isSame) return known.former;
  // The address of the former entry shows that this one is the true one again.
  if (known.entry.born === entry.born && known.former?.entry.address === entry.address)
    return undefined;
  return { entry: known.entry, readAtMs: known.readAtMs };
}
