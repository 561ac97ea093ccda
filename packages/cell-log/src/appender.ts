import type { Clock } from '@acaciahoist/clock';
import type { Instant } from '@acaciahoist/clock/instant';
import type { AppendResult } from '@acaciahoist/cell-types/append-result';
import type { LogStore } from '@acaciahoist/cell-types/log-store';
import type { EventLog } from '@acaciahoist/types/event-log';
import { AppendBudget } from './append-budget.js';
import { OutstandingAppend } from './outstanding-append.js';
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
  /**
   * True for records that must reach the log: a refused append is repeated. If false, the caller
   * receives the refusal.
   */
  repeatsRefused: boolean;
  /**
   * Time in ms for which a record waits for further ones, so that one call to the store appends
   * them all.
   */
  lingerMs?: () => number;
  /**
   * The appender has closed for good: a producer with a higher epoch has appended, or the sequence
   * numbers of an owner do not match those that the store expects.
   */
  onFenced: () => void;
  /** The store has appended the records at `offset`; no attempt was sent before `sentAt`. */
  onAppended?: (offset: number, records: readonly Uint8Array[], sentAt: Instant) => void;
}

/** Records of one call of `append` or `appendLater`. */
interface AppendCall {
  calledAtMs: number;
  records: Uint8Array[];
  resolve: (outcome: AppendOutcome) => void;
}

/** Append without a result and the calls whose records it contains. */
interface OutstandingEntry {
  append: OutstandingAppend;
  calls: AppendCall[];
  /** Resolves when the callers have the result. */
  completion: Promise<void>;
}

/** Maximum number of bytes of a record; the store refuses an append with a longer one. */
const MAX_RECORD_BYTES = 262_144;
/** Maximum number of bytes of one append of records that are not deferred; the store accepts 2 MiB. */
const MAX_APPEND_BYTES = 1_000_000;
/** Time in ms for which records of `appendLater` wait: their clients give up after 3 s. */
const MAX_DEFERRAL_MS = 2_000;
/**
 * Maximum number of outstanding appends; fewer than five, because the store recognizes a repeated
 * append only among the last five.
 */
const MAX_OUTSTANDING_APPENDS = 4;
/**
 * Minimum time in ms after which an append is sent while the one before it is still outstanding;
 * eight usual round trips.
 */
const MIN_SEND_INTERVAL_MS = 40;
/**
 * The interval between two outstanding appends is at least this share of the newest round-trip
 * time, because a partition executes its appends one at a time.
 */
const SEND_INTERVAL_FACTOR = 0.33;
/**
 * Bounds in ms of the delay before an append is repeated. A round trip takes 5 ms, or 350 ms when
 * the store is slow.
 */
const MIN_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 1_200;
/** Delay before an append is repeated, as a multiple of the newest round-trip time. */
const RETRY_DELAY_FACTOR = 4;
/**
 * Bounds in ms of the timeout of an attempt, and its multiple of the newest round-trip time. A partition refuses
 * appends that would wait for more than 2 s.
 */
const MIN_ATTEMPT_TIMEOUT_MS = 1_200;
const MAX_ATTEMPT_TIMEOUT_MS = 2_500;
const ATTEMPT_TIMEOUT_FACTOR = 4;
/**
 * Number of attempts that are followed by the same delay, because several responses in a row may be
 * lost. After further attempts the delay doubles each time.
 */
const CONSTANT_DELAY_ATTEMPTS = 4;

/**
 * Appends records to one topic in the order of the calls of `append`. Records that arrive while an
 * append is outstanding go together into the next one, which is sent after the response, or after
 * an interval if the store is slow. The sequence numbers of the producer keep the order and make a
 * repeated append harmless.
 */
export class Appender {
  static create(options: Options): Appender {
    return new Appender(options);
  }

  private readonly waitingCalls: AppendCall[] = [];
  /** Calls of `appendLater`. */
  private readonly deferredCalls: AppendCall[] = [];
  private readonly budget = AppendBudget.create();
  /** Appends without a result yet, oldest first. */
  private outstanding: OutstandingEntry[] = [];
  private isLingering = false;
  private isClosed = false;
  private cancelNextSend: () => void = () => undefined;
  /** Round-trip time in ms of the newest successful append. */
  private roundTripMs = 0;
  /** Monotonic time of the newest response to an attempt. */
  private lastResponseAtMs = Number.NEGATIVE_INFINITY;
  private sequence: number;
  private epoch: number;
  /** True once an append of the epoch has succeeded. */
  private isEpochBegun: boolean;

  private constructor(private readonly options: Options) {
    this.sequence = options.sequence;
    this.epoch = options.epoch;
    // If the first number is above 0, another append has already begun the epoch, such as the claim
    // of an owner.
    this.isEpochBegun = options.sequence > 0;
  }

  /** Number of callers whose records wait for an append. */
  get waitingCount(): number {
    return this.waitingCalls.length + this.deferredCalls.length;
  }

  /** Round-trip time in ms of the newest successful append, or the age of the oldest outstanding one if that is more. */
  get appendTimeMs(): number {
    const oldest = this.outstanding[0]?.append;
    const ageMs = oldest === undefined ? 0 : this.options.clock.monotonicMs() - oldest.startedAtMs;
    return Math.max(ageMs, this.roundTripMs);
  }

  /** True while an attempt of an outstanding append has been refused or not answered. */
  get isFailing(): boolean {
    return this.outstanding.some(({ append }) => append.hasFailed);
  }

  /** Appends the records; resolves when the result of the append that contains them is known. */
  append(records: Uint8Array[]): Promise<AppendOutcome> {
    return this.enqueue(records, this.waitingCalls);
  }

  /**
   * Appends the records after those of `append` that wait too, and only as many in one append as a slow store takes
   * in time. Calls of `appendLater` keep their order. Refuses records that have to wait too long for their clients.
   */
  appendLater(records: Uint8Array[]): Promise<AppendOutcome> {
    if (this.estimateDeferralMs() > MAX_DEFERRAL_MS) return Promise.resolve(AppendOutcome.refused);
    return this.enqueue(records, this.deferredCalls);
  }

  private enqueue(records: Uint8Array[], calls: AppendCall[]): Promise<AppendOutcome> {
    if (this.isClosed) return Promise.resolve(AppendOutcome.refused);
    const tooLong = records.find((record) => record.byteLength > MAX_RECORD_BYTES);
    if (tooLong !== undefined) {
      // The store would refuse every append with it, and the records that wait behind it.
      const { log, topic } = this.options;
      log('error', 'record-too-long', { topic, bytes: tooLong.byteLength });
      return Promise.resolve(AppendOutcome.refused);
    }
    return new Promise((resolve) => {
      calls.push({ records, resolve, calledAtMs: this.options.clock.monotonicMs() });
      this.scheduleNext();
    });
  }

  /**
   * Stops appending: outstanding appends end as `unknown` if an attempt may still be executed and
   * otherwise as `refused`; waiting calls end as `refused`.
   */
  close(): void {
    this.isClosed = true;
  }

  /** Sends the next append, or schedules it if it is not due yet. */
  private scheduleNext(): void {
    if (this.isClosed) this.refuseWaitingCalls();
    if (this.waitingCount === 0 || this.isLingering || this.isWindowFull()) return;
    const { clock } = this.options;
    const newest = this.outstanding.at(-1);
    if (newest !== undefined) {
      const dueInMs =
        newest.append.startedAtMs + this.computeSendIntervalMs() - clock.monotonicMs();
      if (dueInMs > 0) {
        this.cancelNextSend();
        this.cancelNextSend = clock.after(dueInMs, () => {
          this.scheduleNext();
        });
        return;
      }
    }
    const lingerMs = this.options.lingerMs?.() ?? 0;
    if (lingerMs === 0) {
      this.sendNext();
      return;
    }
    this.isLingering = true;
    clock.after(lingerMs, () => {
      this.isLingering = false;
      this.sendNext();
    });
  }

  /**
   * True when no further append may be sent. All appends since the oldest outstanding one count,
   * also completed ones: the oldest may have to be repeated, and the store must still recognize it.
   */
  private isWindowFull(): boolean {
    const oldest = this.outstanding[0]?.append.numbering.sequence ?? this.sequence;
    return this.sequence - oldest >= MAX_OUTSTANDING_APPENDS;
  }

  /** Sends the records of the waiting calls in one append. */
  private sendNext(): void {
    if (this.isClosed) {
      this.refuseWaitingCalls();
      return;
    }
    const { clock, store, topic, producer, log, repeatsRefused } = this.options;
    const calls = this.takeCalls();
    const append = OutstandingAppend.create({
      clock,
      repeatsRefused,
      records: calls.flatMap((call) => call.records),
      numbering: { epoch: this.epoch, sequence: this.sequence },
      send: (records, { epoch, sequence }) =>
        this.sendAttempt(() =>
          store.append({
            topic,
            records,
            producer: { name: producer, epoch, sequence },
            timeoutMs: this.computeTimeoutMs(),
          }),
        ),
      retryDelayMs: (attempt) =>
        this.computeRetryDelayMs(attempt, append === this.outstanding[0]?.append),
      isClosed: () => this.isClosed,
      isEpochBegun: () => this.isEpochBegun,
      onFirstFailure: (result, reason) => {
        log('warn', 'append-not-answered', { topic, result, reason });
      },
    });
    this.sequence += 1;
    append.previous = this.outstanding.at(-1)?.completion;
    const entry: OutstandingEntry = { append, calls, completion: Promise.resolve() };
    this.outstanding.push(entry);
    entry.completion = this.complete(entry);
    this.scheduleNext();
  }

  private async sendAttempt(send: () => Promise<AppendResult>): Promise<AppendResult> {
    const result = await send();
    this.lastResponseAtMs = this.options.clock.monotonicMs();
    return result;
  }

  private async complete(entry: OutstandingEntry): Promise<void> {
    const { append, calls } = entry;
    const { outcome, cause } = await append.complete();
    const index = this.outstanding.indexOf(entry);
    this.outstanding.splice(index, 1);
    const next = this.outstanding[index];
    if (next !== undefined)
      next.append.previous = index === 0 ? undefined : this.outstanding[index - 1]?.completion;
    if (append.roundTripMs !== undefined) {
      this.roundTripMs = append.roundTripMs;
      const sentAtMs = this.options.clock.monotonicMs() - append.roundTripMs;
      this.recordRoundTrip(sentAtMs, append.roundTripMs);
    }
    if (outcome === AppendOutcome.appended) {
      this.isEpochBegun = true;
      this.options.onAppended?.(append.offset, append.records, append.startedAt);
    }
    if (cause === 'fenced') {
      this.isClosed = true;
      this.options.onFenced();
    } else if (cause === 'out-of-sequence') {
      const { topic, log } = this.options;
      log('error', 'append-out-of-sequence', { topic, ...append.numbering });
      this.handleOutOfSequence();
    } else if (outcome === AppendOutcome.refused && !this.isClosed) this.releaseSequence(append);
    for (const call of calls) call.resolve(outcome);
    this.scheduleNext();
  }

  private recordRoundTrip(sentAtMs: number, roundTripMs: number): void {
    const wasLimited = this.budget.isLimited;
    this.budget.recordRoundTrip(sentAtMs, roundTripMs);
    if (this.budget.isLimited === wasLimited) return;
    this.options.log('info', wasLimited ? 'append-unlimited' : 'append-limited', {
      topic: this.options.topic,
      roundTripMs: Math.round(roundTripMs),
    });
  }

  /**
   * Continues in a new epoch when the store expects another sequence number than this producer
   * uses. The epoch of an owner is its token and must not be raised, because then no process could
   * claim the cell under the next token. The owner relinquishes the cell instead.
   */
  private handleOutOfSequence(): void {
    if (!this.options.repeatsRefused) {
      this.startEpoch();
      return;
    }
    this.isClosed = true;
    this.options.onFenced();
  }

  /**
   * Closes the gap that a refused append leaves in the sequence: the store appends none of the
   * outstanding appends after it until they get new numbers.
   */
  private releaseSequence(append: OutstandingAppend): void {
    if (this.outstanding.length === 0) this.sequence = append.numbering.sequence;
    else this.startEpoch();
  }

  /**
   * Continues in a new epoch, so that the store fences attempts of the previous epoch that arrive
   * late.
   */
  private startEpoch(): void {
    this.epoch += 1;
    this.sequence = 0;
    this.isEpochBegun = false;
    for (const { append } of this.outstanding) {
      append.numbering = { epoch: this.epoch, sequence: this.sequence };
      this.sequence += 1;
    }
  }

  private refuseOldDeferredCalls(): void {
    const oldestMs = this.options.clock.monotonicMs() - MAX_DEFERRAL_MS;
    while (this.deferredCalls[0] !== undefined && this.deferredCalls[0].calledAtMs < oldestMs)
      this.deferredCalls.shift()?.resolve(AppendOutcome.refused);
  }

  private refuseWaitingCalls(): void {
    for (const call of [...this.waitingCalls.splice(0), ...this.deferredCalls.splice(0)])
      call.resolve(AppendOutcome.refused);
  }

  /** Removes and returns the calls of the next append: the oldest ones that fit into it, at least one of each kind. */
  private takeCalls(): AppendCall[] {
    this.refuseOldDeferredCalls();
    const calls = takeOldest(this.waitingCalls, MAX_APPEND_BYTES);
    const bytes = calls.reduce((sum, { records }) => sum + sumBytes(records), 0);
    return [...calls, ...takeOldest(this.deferredCalls, this.budget.maxBytes - bytes)];
  }

  /** Expected time in ms until a new call of `appendLater` is taken into an append. */
  private estimateDeferralMs(): number {
    if (!this.budget.isLimited) return 0;
    const bytes = this.deferredCalls.reduce((sum, { records }) => sum + sumBytes(records), 0);
    return Math.floor(bytes / this.budget.maxBytes) * this.computeSendIntervalMs();
  }

  private computeSendIntervalMs(): number {
    return Math.max(MIN_SEND_INTERVAL_MS, this.roundTripMs * SEND_INTERVAL_FACTOR);
  }

  private computeTimeoutMs(): number {
    return Math.min(
      MAX_ATTEMPT_TIMEOUT_MS,
      Math.max(MIN_ATTEMPT_TIMEOUT_MS, this.roundTripMs * ATTEMPT_TIMEOUT_FACTOR),
    );
  }

  /**
   * Returns a multiple of the newest round-trip time, which doubles with each attempt after the
   * first ones, because repetitions add to the load of a slow store. While several appends wait and
   * none gets a response, the store is slow and no response is lost: a partition executes all
   * attempts one after the other, so that repetitions delay the first ones. Only the oldest append
   * is then repeated early, and once.
   */
  private computeRetryDelayMs(attempt: number, isOldest: boolean): number {
    const silentMs = this.options.clock.monotonicMs() - this.lastResponseAtMs;
    const isSlow = this.outstanding.length > 1 && silentMs > MIN_RETRY_DELAY_MS;
    if (isSlow && !(isOldest && attempt === 1)) return this.computeTimeoutMs();
    const firstMs = Math.max(MIN_RETRY_DELAY_MS, this.roundTripMs * RETRY_DELAY_FACTOR);
    return Math.min(
      MAX_RETRY_DELAY_MS,
      firstMs * 2 ** Math.max(0, attempt - CONSTANT_DELAY_ATTEMPTS),
    );
  }
}

/** Removes and returns the oldest calls that have at most `maxBytes` together, at least one. */
function takeOldest(calls: AppendCall[], maxBytes: number): AppendCall[] {
  let bytes = 0;
  let count = 0;
  for (const { records } of calls) {
    bytes += sumBytes(records);
    if (count > 0 && bytes > maxBytes) break;
    count += 1;
  }
  return calls.splice(0, count);
}

function sumBytes(records: readonly Uint8Array[]): number {
  return records.reduce((sum, record) => sum + record.byteLength, 0);
}
