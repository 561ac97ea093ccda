import type { Clock } from '@acaciahoist/clock';
import type { Instant } from '@acaciahoist/clock/instant';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import type { EventLog } from '@acaciahoist/types/event-log';
import { AppendFlight } from './append-flight.js';
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
  lingerMs?: () => number;
  onFenced: () => void;
  /** Records are in the topic from `offset` on, by an append that was first sent at `sent`. */
  onAppended?: (offset: number, records: readonly Uint8Array[], sent: Instant) => void;
}

interface Batch {
  records: Uint8Array[];
  settle: (outcome: AppendOutcome) => void;
}

interface Entry {
  flight: AppendFlight;
  batches: Batch[];
  landed: Promise<void>;
}

/** Bytes of one append; the store takes 2 MiB, and smaller appends keep its partition responsive. */
const MAX_BATCH_BYTES = 1_000_000;
/** The store answers a repeat of one of the last five appends, so that fewer may be open at a time. */
const MAX_FLIGHTS = 4;
/**
 * A slow store gets the next append before it has answered the last one: after eight times the usual
 * answer, and a third of the newest one, since a partition carries its appends out one at a time.
 */
const MIN_OVERTAKE_MS = 40;
const OVERTAKE_SHARE = 0.33;
/** Bounds in ms of the wait before an append is repeated. An answer takes 5 ms, 350 ms when it is slow. */
const MIN_REPEAT_MS = 200;
const MAX_REPEAT_MS = 1_200;
const REPEAT_FACTOR = 4;
/** Attempts that follow each other after the first wait: answers may be lost one by one. */
const PATIENT_ATTEMPTS = 4;

/**
 * Appends records to one topic in the order in which they were handed in. Records that arrive while an
 * append is open go together into the next one, which waits for the answer, or some time if the store
 * is slow. The numbers of the producer keep the order, and make a repeated append harmless.
 */
export class Appender {
  static create(options: Options): Appender {
    return new Appender(options);
  }

  private waiting: Batch[] = [];
  /** Appends that are not answered, oldest first. */
  private open: Entry[] = [];
  private isLingering = false;
  private isClosed = false;
  private cancelOvertake: () => void = () => undefined;
  /** Time in ms that the newest answer took. */
  private answerMs = 0;
  private sequence: number;
  private epoch: number;
  private isEpochBegun: boolean;

  private constructor(private readonly options: Options) {
    this.sequence = options.sequence;
    this.epoch = options.epoch;
    // A later number continues what another append has begun, such as the claim of an owner.
    this.isEpochBegun = options.sequence > 0;
  }

  /** Number of callers whose records wait for an append. */
  get backlog(): number {
    return this.waiting.length;
  }

  /** True while an append is open that the store has refused or not answered. */
  get isFailing(): boolean {
    return this.open.some(({ flight }) => flight.hasFailed);
  }

  append(records: Uint8Array[]): Promise<AppendOutcome> {
    if (this.isClosed) return Promise.resolve(AppendOutcome.refused);
    return new Promise((settle) => {
      this.waiting.push({ records, settle });
      this.proceed();
    });
  }

  /** Gives up: an append in flight ends as unknown, those that wait as refused. */
  close(): void {
    this.isClosed = true;
  }

  /** Starts the next append if it is its time. */
  private proceed(): void {
    if (this.isClosed) this.refuseWaiting();
    if (this.waiting.length === 0 || this.isLingering || this.isWindowFull()) return;
    const { clock } = this.options;
    const newest = this.open.at(-1);
    if (newest !== undefined) {
      const overtakeMs = Math.max(MIN_OVERTAKE_MS, this.answerMs * OVERTAKE_SHARE);
      const dueMs = newest.flight.startedMs + overtakeMs - clock.monotonicMs();
      if (dueMs > 0) {
        this.cancelOvertake();
        this.cancelOvertake = clock.after(dueMs, () => {
          this.proceed();
        });
        return;
      }
    }
    const lingerMs = this.options.lingerMs?.() ?? 0;
    if (lingerMs === 0) {
      this.launch();
      return;
    }
    this.isLingering = true;
    clock.after(lingerMs, () => {
      this.isLingering = false;
      this.launch();
    });
  }

  /** Counts from the oldest open append: those after it may have landed, but it may have to be repeated. */
  private isWindowFull(): boolean {
    const oldest = this.open[0]?.flight.numbering.sequence ?? this.sequence;
    return this.sequence - oldest >= MAX_FLIGHTS;
  }

  private launch(): void {
    if (this.isClosed) {
      this.refuseWaiting();
      return;
    }
    const { clock, store, topic, producer, log, insists } = this.options;
    const batches = this.takeBatches();
    const flight = AppendFlight.create({
      clock,
      insists,
      records: batches.flatMap((batch) => batch.records),
      numbering: { epoch: this.epoch, sequence: this.sequence },
      send: (records, { epoch, sequence }) =>
        store.append({ topic, records, producer: { name: producer, epoch, sequence } }),
      repeatMs: (attempt) => this.repeatMs(attempt),
      isClosed: () => this.isClosed,
      isEpochBegun: () => this.isEpochBegun,
      onFirstFailure: (result, reason) => {
        log('warn', 'append-not-answered', { topic, result, reason });
      },
    });
    this.sequence += 1;
    flight.earlier = this.open.at(-1)?.landed;
    const entry: Entry = { flight, batches, landed: Promise.resolve() };
    this.open.push(entry);
    entry.landed = this.land(entry);
    this.proceed();
  }

  private async land(entry: Entry): Promise<void> {
    const { flight, batches } = entry;
    const { outcome, cause } = await flight.land();
    const index = this.open.indexOf(entry);
    this.open.splice(index, 1);
    const next = this.open[index];
    if (next !== undefined)
      next.flight.earlier = index === 0 ? undefined : this.open[index - 1]?.landed;
    if (flight.answerMs !== undefined) this.answerMs = flight.answerMs;
    if (outcome === AppendOutcome.appended) {
      this.isEpochBegun = true;
      this.options.onAppended?.(flight.offset, flight.records, flight.started);
    }
    if (cause === 'fenced') {
      this.isClosed = true;
      this.options.onFenced();
    } else if (cause === 'out-of-sequence') {
      const { topic, log } = this.options;
      log('error', 'append-out-of-sequence', { topic, ...flight.numbering });
      this.leaveSequence();
    } else if (outcome === AppendOutcome.refused && !this.isClosed) this.giveBack(flight);
    for (const batch of batches) batch.settle(outcome);
    this.proceed();
  }

  /**
   * The store has not the numbers that this producer counts on. An owner's epoch is its token, which it
   * must not raise: nobody could claim the next one. It gives the cell up instead.
   */
  private leaveSequence(): void {
    if (!this.options.insists) {
      this.renumber();
      return;
    }
    this.isClosed = true;
    this.options.onFenced();
  }

  /** A refused append leaves its number unused, and those after it cannot be appended under theirs. */
  private giveBack(flight: AppendFlight): void {
    if (this.open.length === 0) this.sequence = flight.numbering.sequence;
    else this.renumber();
  }

  /** Goes on in a new epoch: attempts under the former numbers that are carried out late are refused. */
  private renumber(): void {
    this.epoch += 1;
    this.sequence = 0;
    this.isEpochBegun = false;
    for (const { flight } of this.open) {
      flight.numbering = { epoch: this.epoch, sequence: this.sequence };
      this.sequence += 1;
    }
  }

  private refuseWaiting(): void {
    for (const batch of this.waiting.splice(0)) batch.settle(AppendOutcome.refused);
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

  /** A multiple of the last answer's time, later doubled: repeats burden a store that is slow. */
  private repeatMs(attempt: number): number {
    const firstMs = Math.max(MIN_REPEAT_MS, this.answerMs * REPEAT_FACTOR);
    return Math.min(MAX_REPEAT_MS, firstMs * 2 ** Math.max(0, attempt - PATIENT_ATTEMPTS));
  }
}
