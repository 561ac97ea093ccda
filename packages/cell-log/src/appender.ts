import type { Clock } from '@acaciahoist/clock';
import type { AppendResult } from '@acaciahoist/cell-types/append-result';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import type { EventLog } from '@acaciahoist/types/event-log';
import { AppendOutcome } from './append-outcome.js';

interface Options {
  clock: Clock;
  store: Pick<LogStore, 'append'>;
  log: EventLog;
  topic: string;
  producer: string;
  epoch: number;
  /** Sequence number of the first append. */
  sequence: number;
  /** True for records that must reach the log in the end; false to hand a refusal to the caller. */
  insists: boolean;
  /** Time in ms for which a record waits for others, so that one call takes them all. */
  lingerMs?: number;
  onFenced: () => void;
  /** The topic holds records up to this offset now. */
  onAppended?: (end: number) => void;
}

interface Batch {
  records: Uint8Array[];
  settle: (outcome: AppendOutcome) => void;
}

/** Bytes of one append; the store takes 2 MiB, and smaller appends keep its partition responsive. */
const MAX_BATCH_BYTES = 1_000_000;
/** Pause in ms before an append is repeated; a store that answers "busy" needs time. */
const RETRY_MS = 60;
/** Bounds in ms of the time limit of an append. An answer takes 5 ms, 350 ms when the store is slow. */
const MIN_TIMEOUT_MS = 200;
const MAX_TIMEOUT_MS = 1_200;
const TIMEOUT_FACTOR = 4;
/** Attempts with the first limit: answers that are lost one by one must not add up to seconds. */
const PATIENT_ATTEMPTS = 4;

/**
 * Appends records to one topic, one append at a time; records that arrive meanwhile go together into
 * the next one. An append of unknown result is repeated under its sequence number until it is known,
 * so that nothing is written twice and the order is kept.
 */
export class Appender {
  static create(options: Options): Appender {
    return new Appender(options);
  }

  private waiting: Batch[] = [];
  private isRunning = false;
  private isClosed = false;
  /** Time in ms that the newest answer took. */
  private answerMs = 0;
  private sequence: number;
  private epoch: number;

  private constructor(private readonly options: Options) {
    this.sequence = options.sequence;
    this.epoch = options.epoch;
  }

  /** Number of callers whose records wait or are in flight. */
  get backlog(): number {
    return this.waiting.length;
  }

  append(records: Uint8Array[]): Promise<AppendOutcome> {
    if (this.isClosed) return Promise.resolve(AppendOutcome.refused);
    return new Promise((settle) => {
      this.waiting.push({ records, settle });
      if (!this.isRunning) void this.run();
    });
  }

  /** Gives up: an append in flight ends as unknown, those that wait as refused. */
  close(): void {
    this.isClosed = true;
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    while (this.waiting.length > 0 && !this.isClosed) {
      await this.linger();
      const batches = this.takeBatches();
      const outcome = await this.write(batches.flatMap((batch) => batch.records));
      for (const batch of batches) batch.settle(outcome);
    }
    for (const batch of this.waiting) batch.settle(AppendOutcome.refused);
    this.waiting = [];
    this.isRunning = false;
  }

  private async linger(): Promise<void> {
    const { lingerMs = 0, clock } = this.options;
    if (lingerMs > 0) await new Promise<void>((resolve) => clock.after(lingerMs, resolve));
  }

  private takeBatches(): Batch[] {
    let bytes = 0;
    let count = 0;
    for (const batch of this.waiting) {
      bytes += batch.records.reduce((sum, record) => sum + record.byteLength, 0);
      if (count > 0 && bytes > MAX_BATCH_BYTES) break;
      count += 1;
    }
    return this.waiting.splice(0, count);
  }

  private async write(records: Uint8Array[]): Promise<AppendOutcome> {
    const { store, topic, clock, log, insists } = this.options;
    let isUnknown = false;
    for (let attempt = 1; ; attempt += 1) {
      const sentMs = clock.monotonicMs();
      const result: AppendResult = await store.append({
        topic,
        timeoutMs: this.timeoutFor(attempt),
        records,
        producer: { name: this.options.producer, epoch: this.epoch, sequence: this.sequence },
      });
      if (result.kind === 'appended') {
        this.sequence += 1;
        this.answerMs = clock.monotonicMs() - sentMs;
        this.options.onAppended?.(result.offset + records.length);
        return AppendOutcome.appended;
      }
      if (result.kind === 'fenced') {
        this.isClosed = true;
        this.options.onFenced();
        return isUnknown ? AppendOutcome.unknown : AppendOutcome.refused;
      }
      if (result.kind === 'out-of-sequence' || result.kind === 'moved') {
        log('error', 'append-out-of-sequence', {
          topic,
          epoch: this.epoch,
          sequence: this.sequence,
        });
        this.epoch += 1;
        this.sequence = 0;
        return AppendOutcome.unknown;
      }
      if (result.kind === 'unknown') isUnknown = true;
      if (attempt === 1)
        log('warn', 'append-not-answered', { topic, result: result.kind, reason: result.reason });
      if (this.isClosed) return isUnknown ? AppendOutcome.unknown : AppendOutcome.refused;
      if (!insists && !isUnknown) return AppendOutcome.refused;
      // An answer that was lost comes again at once; a store that is busy needs a pause.
      const pauseMs = result.kind === 'unknown' ? 0 : RETRY_MS;
      if (pauseMs > 0) await new Promise<void>((resolve) => clock.after(pauseMs, resolve));
    }
  }

  /** A multiple of the last answer's time, doubled when several attempts were not answered. */
  private timeoutFor(attempt: number): number {
    const firstMs = Math.max(MIN_TIMEOUT_MS, this.answerMs * TIMEOUT_FACTOR);
    return Math.min(MAX_TIMEOUT_MS, firstMs * 2 ** Math.max(0, attempt - PATIENT_ATTEMPTS));
  }
}
