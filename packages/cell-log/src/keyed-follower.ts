import type { Clock } from '@acaciahoist/clock';
import type { KeyedRecord } from '@acaciahoist/cell-types/keyed-record';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import type { EventLog } from '@acaciahoist/types/event-log';

interface Options {
  clock: Clock;
  store: Pick<LogStore, 'readNewest' | 'read' | 'decodeKeyed'>;
  log: EventLog;
  topic: string;
  /** Maximum wait of a read in ms; 0 to read at intervals without waiting. */
  waitMs: number;
  /** Minimum time in ms between two reads. */
  readIntervalMs: () => number;
  /** Time in ms after which all keys are read again; infinite to never read them again. */
  reloadIntervalMs: () => number;
  onRecord: (record: KeyedRecord) => void;
  /** The newest record of every key of the topic, after all of them were read. */
  onReloaded: (records: readonly KeyedRecord[]) => void;
}

/** Pause in ms after a failed read. */
const RETRY_PAUSE_MS = 150;

/** Follows the newest record of each key of a keyed topic. */
export class KeyedFollower {
  static create(options: Options): KeyedFollower {
    return new KeyedFollower(options);
  }

  private isStopped = false;
  private isTopicUnavailable = false;
  private nextOffset: number | undefined;
  private lastReloadAtMs = 0;
  /** Ends the pause between two reads. */
  private endPause: () => void = () => undefined;

  private constructor(private readonly options: Options) {}

  /** Follows the topic until `stop`. */
  async run(): Promise<void> {
    const { clock, readIntervalMs, reloadIntervalMs } = this.options;
    while (!this.isStopped) {
      const isReloadDue = clock.monotonicMs() - this.lastReloadAtMs > reloadIntervalMs();
      const isSuccessful = await this.readOrReload(isReloadDue);
      this.logAvailability(isSuccessful);
      await new Promise<void>((resolve) => {
        const cancel = clock.after(isSuccessful ? readIntervalMs() : RETRY_PAUSE_MS, resolve);
        this.endPause = (): void => {
          cancel();
          resolve();
        };
      });
    }
  }

  stop(): void {
    this.isStopped = true;
    this.endPause();
  }

  /** Reads all keys again at once, without waiting for the interval. */
  reloadNow(): void {
    this.lastReloadAtMs = Number.NEGATIVE_INFINITY;
    this.endPause();
  }

  /**
   * Reads once; false when the store did not answer. An exception in a callback is only logged, so
   * that the follower continues to read the topic.
   */
  private async readOrReload(isReloadDue: boolean): Promise<boolean> {
    try {
      return await (this.nextOffset === undefined || isReloadDue ? this.reload() : this.read());
    } catch (error) {
      const { log, topic } = this.options;
      log('error', 'record-not-processed', { topic, error: String(error) });
      return true;
    }
  }

  private async reload(): Promise<boolean> {
    const page = await this.options.store.readNewest(this.options.topic);
    if (page === undefined) return false;
    this.nextOffset = page.end;
    this.lastReloadAtMs = this.options.clock.monotonicMs();
    if (!this.isStopped) this.options.onReloaded(page.records);
    return true;
  }

  private async read(): Promise<boolean> {
    const { store, topic, waitMs, onRecord } = this.options;
    const from = this.nextOffset ?? 0;
    const result = await store.read(topic, from, waitMs);
    if (result.kind === 'failed') return false;
    if (result.kind === 'expired') {
      this.nextOffset = undefined;
      return true;
    }
    this.nextOffset = from + result.records.length;
    for (const data of result.records) {
      const record = store.decodeKeyed(data);
      if (record === undefined)
        this.options.log('warn', 'record-unreadable', { topic, bytes: data.byteLength });
      else if (!this.isStopped) onRecord(record);
    }
    return true;
  }

  private logAvailability(isSuccessful: boolean): void {
    if (isSuccessful !== this.isTopicUnavailable) return;
    this.isTopicUnavailable = !isSuccessful;
    this.options.log(
      isSuccessful ? 'info' : 'warn',
      isSuccessful ? 'topic-available' : 'topic-unavailable',
      {
        topic: this.options.topic,
      },
    );
  }
}
