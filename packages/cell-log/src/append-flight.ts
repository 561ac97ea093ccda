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
  repeatMs: (attempt: number) => number;
  isClosed: () => boolean;
  /** True once an append of the epoch has landed: only then the store refuses one that is ahead of another. */
  isEpochBegun: () => boolean;
  onFirstFailure: (result: string, reason: string) => void;
}

/** The result of one attempt. */
interface Answer {
  result: AppendResult;
  sentMs: number;
  as: Numbering;
  /** The append before this one had not landed when the attempt was sent. */
  isAhead: boolean;
}

/** How a flight ended: the outcome for its callers, and what it means for the producer. */
interface Landing {
  outcome: AppendOutcome;
  /** `fenced`: a higher epoch has written. `out-of-sequence`: the store expects another number. */
  cause?: 'fenced' | 'out-of-sequence';
}

/** Pause in ms before an append is repeated that the store refused; a busy store needs time. */
const RETRY_MS = 60;
/** Attempts of one append that wait for an answer at the same time. */
const MAX_ATTEMPTS_OPEN = 5;

/**
 * One append until its result is known. An attempt that is not answered in time is followed by another
 * one under the same number, and the first answer counts: an answer may be lost, or only be slow.
 */
export class AppendFlight {
  static create(options: Options): AppendFlight {
    return new AppendFlight(options);
  }

  readonly startedMs: number;
  readonly started: Instant;
  numbering: Numbering;
  /** The append before this one, while its result is not known. */
  earlier: Promise<unknown> | undefined;
  /** Time in ms that the answer took; undefined until there is one. */
  answerMs: number | undefined;
  /** Offset of the first record, once they are in the log. */
  offset = 0;
  /** True once an attempt was refused or not answered. */
  hasFailed = false;
  private isUnknown = false;
  private attempts = 0;
  /** Attempts without a result. */
  private readonly open = new Set<Promise<void>>();
  /** Results that were not taken yet; one may arrive while the flight pauses. */
  private readonly answers: Answer[] = [];

  private constructor(private readonly options: Options) {
    this.startedMs = options.clock.monotonicMs();
    this.started = Instant.create(options.clock);
    this.numbering = options.numbering;
  }

  get records(): readonly Uint8Array[] {
    return this.options.records;
  }

  async land(): Promise<Landing> {
    for (;;) {
      if (this.answers.length === 0) {
        if (this.earlier !== undefined && !this.options.isEpochBegun()) {
          await this.earlier;
          if (this.options.isClosed()) return { outcome: this.undecided() };
        }
        if (this.open.size < MAX_ATTEMPTS_OPEN) this.attempt();
        await this.nextAnswer();
      }
      const answer = this.answers.shift();
      if (answer === undefined) continue;
      const landing = await this.take(answer);
      if (landing !== undefined) return landing;
      if (this.options.isClosed()) return { outcome: this.undecided() };
    }
  }

  private attempt(): void {
    const { clock, records, send } = this.options;
    const as = this.numbering;
    const sentMs = clock.monotonicMs();
    const isAhead = this.earlier !== undefined;
    this.attempts += 1;
    const attempt = send(records, as).then((result) => {
      this.open.delete(attempt);
      this.answers.push({ result, sentMs, as, isAhead });
    });
    this.open.add(attempt);
  }

  /** Waits for a result, or until it is time for another attempt. */
  private async nextAnswer(): Promise<void> {
    const { clock, repeatMs } = this.options;
    let cancel: () => void = () => undefined;
    const due = new Promise<void>((resolve) => {
      cancel = clock.after(repeatMs(this.attempts), resolve);
    });
    await Promise.race([...this.open, due]);
    cancel();
  }

  /** The landing that a result means; undefined to go on. */
  private async take({ result, sentMs, as, isAhead }: Answer): Promise<Landing | undefined> {
    switch (result.kind) {
      case 'appended':
        this.answerMs = this.options.clock.monotonicMs() - sentMs;
        this.offset = result.offset;
        return { outcome: AppendOutcome.appended };
      case 'fenced':
        // Attempts under a former number of this flight are refused after it was renumbered.
        return as === this.numbering ? { outcome: this.undecided(), cause: 'fenced' } : undefined;
      case 'out-of-sequence':
      case 'moved':
        if (as !== this.numbering) return undefined;
        // Of an attempt that was ahead of the sequence this says nothing about the next one.
        if (!isAhead) return { outcome: AppendOutcome.unknown, cause: 'out-of-sequence' };
        if (this.earlier !== undefined) await this.earlier;
        return undefined;
      case 'unknown':
        this.isUnknown = true;
        this.noteFailure(result.kind, result.reason);
        // A connection that is reset fails at once, again and again.
        await this.pause(sentMs + RETRY_MS - this.options.clock.monotonicMs());
        return undefined;
      case 'refused':
        this.noteFailure(result.kind, result.reason);
        if (!this.options.insists && !this.isUnknown && this.isSettled()) {
          // Only the oldest append may leave its number unused: those after it get new ones.
          if (this.earlier !== undefined) await this.earlier;
          return { outcome: AppendOutcome.refused };
        }
        await this.pause(RETRY_MS);
        return undefined;
    }
  }

  /** True when the results of all attempts were taken. */
  private isSettled(): boolean {
    return this.open.size === 0 && this.answers.length === 0;
  }

  private undecided(): AppendOutcome {
    return this.isUnknown || !this.isSettled() ? AppendOutcome.unknown : AppendOutcome.refused;
  }

  private async pause(ms: number): Promise<void> {
    if (ms > 0) await new Promise<void>((resolve) => this.options.clock.after(ms, resolve));
  }

  private noteFailure(kind: string, reason: string): void {
    if (!this.hasFailed) this.options.onFirstFailure(kind, reason);
    this.hasFailed = true;
  }
}
