import type { Clock } from '@acaciahoist/clock';
import { Instant } from '@acaciahoist/clock/instant';
import type { AppendResult } from '@acaciahoist/cell-types/append-result';
import { AppendOutcome } from './append-outcome.js';

/** Identifies an append among those of its producer. */
interface Numbering {
  epoch: number;
  sequence: number;
}

interface Options {
  clock: Clock;
  records: readonly Uint8Array[];
  numbering: Numbering;
  /**
   * True for records that must reach the log: a refused append is repeated. If false, the caller
   * receives the refusal.
   */
  repeatsRefused: boolean;
  /** Sends one attempt to the store. */
  send: (records: readonly Uint8Array[], numbering: Numbering) => Promise<AppendResult>;
  /**
   * Time in ms without a response after which another attempt follows the given one; attempts are
   * counted from 1.
   */
  retryDelayMs: (attempt: number) => number;
  isClosed: () => boolean;
  /**
   * True once an append of the epoch has succeeded. Before that, the store accepts an append that
   * arrives ahead of an earlier one.
   */
  isEpochBegun: () => boolean;
  /** Called for the first attempt that was refused or not answered. */
  onFirstFailure: (result: string, reason: string) => void;
}

/** Response of the store to one attempt. */
interface AttemptResponse {
  result: AppendResult;
  sentAtMs: number;
  sentNumbering: Numbering;
  /** True if the previous append had no result yet when the attempt was sent. */
  isAhead: boolean;
}

/** Result of the append for its callers and for the sequence numbers of the producer. */
interface Completion {
  outcome: AppendOutcome;
  /** `fenced`: a higher epoch has written. `out-of-sequence`: the store expects another number. */
  cause?: 'fenced' | 'out-of-sequence';
}

/**
 * Minimum time in ms before the next attempt after one that was refused or not answered, to spare
 * an overloaded store.
 */
const RETRY_PAUSE_MS = 60;
/** Maximum number of outstanding attempts of one append. */
const MAX_OUTSTANDING_ATTEMPTS = 5;

/**
 * Repeats one append until its result is known. When an attempt is not answered in time, its
 * response may be lost or merely late, so another attempt is sent under the same sequence number.
 * The first response that decides the result counts.
 */
export class OutstandingAppend {
  static create(options: Options): OutstandingAppend {
    return new OutstandingAppend(options);
  }

  /** Monotonic time at which the append was created; no attempt was sent before it. */
  readonly startedAtMs: number;
  /** The same time as an instant, whose age includes suspensions of the machine. */
  readonly startedAt: Instant;
  numbering: Numbering;
  /** The previous append, while its result is not known. */
  previous: Promise<unknown> | undefined;
  /** Round-trip time in ms of the successful attempt; undefined until there is one. */
  roundTripMs: number | undefined;
  /** Offset of the first record, once the records are in the log. */
  offset = 0;
  /** True once an attempt was refused or not answered. */
  hasFailed = false;
  private hasUnknownAttempt = false;
  private attempts = 0;
  /** Attempts without a response. */
  private readonly outstanding = new Set<Promise<void>>();
  /** Responses that are not handled yet; one may arrive during the pause after another. */
  private readonly unhandledResponses: AttemptResponse[] = [];

  private constructor(private readonly options: Options) {
    this.startedAtMs = options.clock.monotonicMs();
    this.startedAt = Instant.create(options.clock);
    this.numbering = options.numbering;
  }

  get records(): readonly Uint8Array[] {
    return this.options.records;
  }

  /** Sends attempts until the result is known or the appender is closed. */
  async complete(): Promise<Completion> {
    for (;;) {
      if (this.unhandledResponses.length === 0) {
        if (this.previous !== undefined && !this.options.isEpochBegun()) {
          await this.previous;
          if (this.options.isClosed()) return { outcome: this.getUnfinishedOutcome() };
        }
        if (this.outstanding.size < MAX_OUTSTANDING_ATTEMPTS) this.sendAttempt();
        await this.waitForResponse();
      }
      const response = this.unhandledResponses.shift();
      if (response === undefined) continue;
      const completion = await this.handleResponse(response);
      if (completion !== undefined) return completion;
      if (this.options.isClosed()) return { outcome: this.getUnfinishedOutcome() };
    }
  }

  private sendAttempt(): void {
    const { clock, records, send } = this.options;
    const sentNumbering = this.numbering;
    const sentAtMs = clock.monotonicMs();
    const isAhead = this.previous !== undefined;
    this.attempts += 1;
    const attempt = send(records, sentNumbering).then((result) => {
      this.outstanding.delete(attempt);
      this.unhandledResponses.push({ result, sentAtMs, sentNumbering, isAhead });
    });
    this.outstanding.add(attempt);
  }

  /**
   * Waits for a response, or until the next attempt is due. The delay is computed again when it has passed, because
   * responses to other appends, or none, have shown by then whether the store is slow.
   */
  private async waitForResponse(): Promise<void> {
    const { clock, retryDelayMs } = this.options;
    const waitsSinceMs = clock.monotonicMs();
    while (this.unhandledResponses.length === 0) {
      const leftMs = waitsSinceMs + retryDelayMs(this.attempts) - clock.monotonicMs();
      if (leftMs <= 0) return;
      let cancel: () => void = () => undefined;
      const retryDue = new Promise<void>((resolve) => {
        cancel = clock.after(leftMs, resolve);
      });
      await Promise.race([...this.outstanding, retryDue]);
      cancel();
    }
  }

  /** Returns the result of the append if the response decides it; undefined to continue. */
  private async handleResponse({
    result,
    sentAtMs,
    sentNumbering,
    isAhead,
  }: AttemptResponse): Promise<Completion | undefined> {
    switch (result.kind) {
      case 'appended':
        this.roundTripMs = this.options.clock.monotonicMs() - sentAtMs;
        this.offset = result.offset;
        return { outcome: AppendOutcome.appended };
      case 'fenced':
        // An attempt under an earlier numbering of this append is fenced by the new epoch of the
        // same producer. That does not end the append.
        return sentNumbering === this.numbering
          ? { outcome: this.getUnfinishedOutcome(), cause: 'fenced' }
          : undefined;
      case 'out-of-sequence':
      case 'moved':
        if (sentNumbering !== this.numbering) return undefined;
        // An attempt that was ahead of the previous append may be out of sequence for that reason
        // alone, and the next attempt may succeed.
        if (!isAhead) return { outcome: AppendOutcome.unknown, cause: 'out-of-sequence' };
        if (this.previous !== undefined) await this.previous;
        return undefined;
      case 'unknown':
        this.hasUnknownAttempt = true;
        this.reportFirstFailure(result.kind, result.reason);
        // Bounds the rate of attempts while every connection is reset at once.
        await this.pause(sentAtMs + RETRY_PAUSE_MS - this.options.clock.monotonicMs());
        return undefined;
      case 'refused':
        this.reportFirstFailure(result.kind, result.reason);
        if (!this.options.repeatsRefused && !this.hasUnknownAttempt && this.areAttemptsHandled()) {
          // Only the oldest append may leave its sequence number unused, because this gives new
          // numbers to all outstanding appends.
          if (this.previous !== undefined) await this.previous;
          return { outcome: AppendOutcome.refused };
        }
        await this.pause(RETRY_PAUSE_MS);
        return undefined;
    }
  }

  /** True when all attempts are answered and all responses are handled. */
  private areAttemptsHandled(): boolean {
    return this.outstanding.size === 0 && this.unhandledResponses.length === 0;
  }

  /** Returns `unknown` if an attempt may have been or may yet be executed, else `refused`. */
  private getUnfinishedOutcome(): AppendOutcome {
    return this.hasUnknownAttempt || !this.areAttemptsHandled()
      ? AppendOutcome.unknown
      : AppendOutcome.refused;
  }

  private async pause(ms: number): Promise<void> {
    if (ms > 0) await new Promise<void>((resolve) => this.options.clock.after(ms, resolve));
  }

  private reportFirstFailure(kind: string, reason: string): void {
    if (!this.hasFailed) this.options.onFirstFailure(kind, reason);
    this.hasFailed = true;
  }
}
