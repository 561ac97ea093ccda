import type { Clock } from '@acaciahoist/clock';
import { Instant } from '@acaciahoist/clock/instant';
import type { AppendResult } from '@acaciahoist/cell-types/append-result';
import { AppendOutcome } from './append-outcome.js';

/** Number of an append within its producer. */
interface Numbering {
  epoch: number;
  sequence: number;
}

interface Options {
  clock: Clock;
  records: readonly Uint8Array[];
  numbering: Numbering;
  /** True for records that must reach the log in the end; false to hand a refusal to the caller. */
  insists: boolean;
  /** One call to the store. */
  send: (records: readonly Uint8Array[], numbering: Numbering) => Promise<AppendResult>;
  /** Time in ms after which the n-th attempt, from 1, is followed by another one beside it. */
  retryDelayMs: (attempt: number) => number;
  isClosed: () => boolean;
  /** True once an append of the epoch has landed: only then the store refuses one that is ahead of another. */
  isEpochBegun: () => boolean;
  onFirstFailure: (result: string, reason: string) => void;
}

/** The result of one attempt. */
interface AttemptAnswer {
  result: AppendResult;
  sentMs: number;
  sentNumbering: Numbering;
  /** The append before this one had not landed when the attempt was sent. */
  isAhead: boolean;
}

/** How a flight ended: the outcome for its callers, and what it means for the producer. */
interface Completion {
  outcome: AppendOutcome;
  /** `fenced`: a higher epoch has written. `out-of-sequence`: the store expects another number. */
  cause?: 'fenced' | 'out-of-sequence';
}

/** Pause in ms before an append is repeated that the store refused; a busy store needs time. */
const RETRY_PAUSE_MS = 60;
/** Attempts of one append that wait for an answer at the same time. */
const MAX_OUTSTANDING_ATTEMPTS = 5;

/**
 * One append until its result is known. An attempt that is not answered in time is followed by another
 * one under the same number, and the first answer counts: an answer may be lost, or only be slow.
 */
export class OutstandingAppend {
  static create(options: Options): OutstandingAppend {
    return new OutstandingAppend(options);
  }

  readonly startedMs: number;
  readonly started: Instant;
  numbering: Numbering;
  /** The append before this one, while its result is not known. */
  previous: Promise<unknown> | undefined;
  /** Time in ms that the answer took; undefined until there is one. */
  roundTripMs: number | undefined;
  /** Offset of the first record, once they are in the log. */
  offset = 0;
  /** True once an attempt was refused or not answered. */
  hasFailed = false;
  private hasUnknownAttempt = false;
  private attempts = 0;
  /** Attempts without a result. */
  private readonly outstanding = new Set<Promise<void>>();
  /** Results that were not taken yet; one may arrive while the flight pauses. */
  private readonly unhandledAnswers: AttemptAnswer[] = [];

  private constructor(private readonly options: Options) {
    this.startedMs = options.clock.monotonicMs();
    this.started = Instant.create(options.clock);
    this.numbering = options.numbering;
  }

  get records(): readonly Uint8Array[] {
    return this.options.records;
  }

  async complete(): Promise<Completion> {
    for (;;) {
      if (this.unhandledAnswers.length === 0) {
        if (this.previous !== undefined && !this.options.isEpochBegun()) {
          await this.previous;
          if (this.options.isClosed()) return { outcome: this.getUnfinishedOutcome() };
        }
        if (this.outstanding.size < MAX_OUTSTANDING_ATTEMPTS) this.sendAttempt();
        await this.waitForAnswer();
      }
      const answer = this.unhandledAnswers.shift();
      if (answer === undefined) continue;
      const completion = await this.handleAnswer(answer);
      if (completion !== undefined) return completion;
      if (this.options.isClosed()) return { outcome: this.getUnfinishedOutcome() };
    }
  }

  private sendAttempt(): void {
    const { clock, records, send } = this.options;
    const sentNumbering = this.numbering;
    const sentMs = clock.monotonicMs();
    const isAhead = this.previous !== undefined;
    this.attempts += 1;
    const attempt = send(records, sentNumbering).then((result) => {
      this.outstanding.delete(attempt);
      this.unhandledAnswers.push({ result, sentMs, sentNumbering, isAhead });
    });
    this.outstanding.add(attempt);
  }

  /** Waits for a result, or until it is time for another attempt. */
  private async waitForAnswer(): Promise<void> {
    const { clock, retryDelayMs } = this.options;
    let cancel: () => void = () => undefined;
    const retryDue = new Promise<void>((resolve) => {
      cancel = clock.after(retryDelayMs(this.attempts), resolve);
    });
    await Promise.race([...this.outstanding, retryDue]);
    cancel();
  }

  /** The landing that a result means; undefined to go on. */
  private async handleAnswer({
    result,
    sentMs,
    sentNumbering,
    isAhead,
  }: AttemptAnswer): Promise<Completion | undefined> {
    switch (result.kind) {
      case 'appended':
        this.roundTripMs = this.options.clock.monotonicMs() - sentMs;
        this.offset = result.offset;
        return { outcome: AppendOutcome.appended };
      case 'fenced':
        // Attempts under a former number of this flight are refused after it was renumbered.
        return sentNumbering === this.numbering
          ? { outcome: this.getUnfinishedOutcome(), cause: 'fenced' }
          : undefined;
      case 'out-of-sequence':
      case 'moved':
        if (sentNumbering !== this.numbering) return undefined;
        // Of an attempt that was ahead of the sequence this says nothing about the next one.
        if (!isAhead) return { outcome: AppendOutcome.unknown, cause: 'out-of-sequence' };
        if (this.previous !== undefined) await this.previous;
        return undefined;
      case 'unknown':
        this.hasUnknownAttempt = true;
        this.reportFirstFailure(result.kind, result.reason);
        // A connection that is reset fails at once, again and again.
        await this.pause(sentMs + RETRY_PAUSE_MS - this.options.clock.monotonicMs());
        return undefined;
      case 'refused':
        this.reportFirstFailure(result.kind, result.reason);
        if (!this.options.insists && !this.hasUnknownAttempt && this.areAttemptsHandled()) {
          // Only the oldest append may leave its number unused: those after it get new ones.
          if (this.previous !== undefined) await this.previous;
          return { outcome: AppendOutcome.refused };
        }
        await this.pause(RETRY_PAUSE_MS);
        return undefined;
    }
  }

  /** True when the results of all attempts were taken. */
  private areAttemptsHandled(): boolean {
    return this.outstanding.size === 0 && this.unhandledAnswers.length === 0;
  }

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
