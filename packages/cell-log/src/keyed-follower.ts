import type { Clock } from '@acaciahoist/clock';
import type { KeyedRecord } from '@acaciahoist/cell-types/keyed-record';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import type { EventLog } from '@acaciahoist/types/event-log';
import { RecordFaultLog } from './record-fault-log.js';

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
  /** Called with each record, and again with each newest record when all keys were read again. */
  onRecord: (record: KeyedRecord) => void;
  /** Called with all keys of the topic, after `onRecord` was called with the newest record of each. */
  onReloaded?: (keys: ReadonlySet<string>) => void;
}

/** Pause in ms after a failed read. */
const RETRY_PAUSE_MS = 150;

/**
 * Follows the newest record of each key of a keyed topic. An exception in a callback for one record is logged
 * and affects no other record.
 */
export class KeyedFollower {
  static create(options: Options): KeyedFollower {
    return new KeyedFollower(options);
  }

  private isStopped = false;
  private isTopicUnavailable = false;
  private nextOffset: number | undefined;
  private lastReloadAtMs = 0;
  private readonly faultLog: RecordFaultLog;
  /** Ends the pause between two reads. */
  private endPause: () => void = () => undefined;

  private constructor(private readonly options: Options) {
    this.faultLog = RecordFaultLog.create(options);
  }

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

  /** Reads once; false when the store did not answer. */
  private async readOrReload(isReloadDue: boolean): Promise<boolean> {
    try {
      return await (this.nextOffset === undefined || isReloadDue ? this.reload() : this.read());
    } catch (error) {
      // The next read is made after a pause, so that the topic is still followed.
      this.logFault('', error);
      return false;
    }
  }

  private async reload(): Promise<boolean> {
    const { store, topic, onReloaded } = this.options;
    const page = await store.readNewest(topic);
    if (page === undefined) return false;
    this.nextOffset = page.end;
    this.lastReloadAtMs = this.options.clock.monotonicMs();
    for (const record of page.records) this.processRecord(record);
    if (this.isStopped) return true;
    this.callSafely('', () => onReloaded?.(new Set(page.records.map((record) => record.key))));
    return true;
  }

  private async read(): Promise<boolean> {
    const { store, topic, waitMs } = this.options;
    const from = this.nextOffset ?? 0;
    const result = await store.read(topic, from, waitMs);
    if (result.kind === 'failed') return false;
    if (result.kind === 'expired') {
      this.nextOffset = undefined;
      return true;
    }
    this.nextOffset = from + result.records.length;
    for (const [index, data] of result.records.entries())
      this.callSafely(`offset ${from + index}`, () => {
        const record = store.decodeKeyed(data);
        if (record === undefined)
          this.faultLog.write(`${topic} unreadable`, 'warn', 'record-unreadable', {
            topic,
            bytes: data.byteLength,
          });
        else this.processRecord(record);
      });
    return true;
  }

  private processRecord(record: KeyedRecord): void {
    if (this.isStopped) return;
    this.callSafely(record.key, () => {
      this.options.onRecord(record);
    });
  }

  private callSafely(key: string, callback: () => void): void {
    try {
      callback();
    } catch (error) {
      this.logFault(key, error);
    }
  }

  private logFault(key: string, error: unknown): void {
    const { topic } = this.options;
    this.faultLog.write(key, 'error', 'record-not-processed', { topic, key, error: String(error) });
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
