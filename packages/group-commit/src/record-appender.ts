import type { Result } from 'true-myth/result';
import { Instant } from '@acaciahoist/clock/instant';
import type { Failure } from '@acaciahoist/errors';
import type { Offset } from '@acaciahoist/types/offset';
import { AppendOutcome } from './append-outcome.js';
import type { GroupCommitOptions } from './group-commit-options.js';

/** Upper limit of the timeout, which doubles with each repetition while the log is slow. */
const MAX_APPEND_TIMEOUT_MS = 8_000;

/**
 * Appends one record and determines its outcome. A record whose append has an unknown result is sent
 * again, with the same bytes, only after a read to the end of the stream did not find it.
 */
export class RecordAppender {
  static create(options: GroupCommitOptions): RecordAppender {
    return new RecordAppender(options);
  }

  appendCount = 0;
  /** Number of reads to the end of the stream after an append whose result is unknown. */
  readBackCount = 0;
  private isStopped = false;

  private constructor(private readonly options: GroupCommitOptions) {}

  /** Makes an `append` in progress return `unknown` after its current call. */
  stop(): void {
    this.isStopped = true;
  }

  /**
   * Appends a record until its outcome is certain. A record that is not required is not repeated after a read
   * that did not find it.
   */
  async append(data: Uint8Array, sequence: number, isRequired: boolean): Promise<AppendOutcome> {
    const { clock, log, journal } = this.options;
    let { appendTimeoutMs } = this.options;
    let hasUnknownResult = false;
    // The valid record may come from an earlier, delayed append call. It cannot have been appended before
    // the start of the last read that did not find it.
    let since = Instant.create(clock);
    while (!this.isStopped) {
      this.appendCount += 1;
      const appended = await log.append(data, appendTimeoutMs);
      if (appended.isOk && this.isValidWithoutRead(appended.value)) {
        this.options.applyAcknowledged({ offset: appended.value, data });
        this.options.onDurable(since);
        return AppendOutcome.durable;
      }
      if (isRefused(appended) && !hasUnknownResult) return AppendOutcome.notAppended;
      hasUnknownResult = true;
      this.readBackCount += 1;
      const offset = appended.isOk ? appended.value : -1;
      const readStart = await this.options.reader.readPast(offset, clock, () => this.isStopped);
      if (readStart === undefined) break;
      const lastSequence = journal.sequenceOf(this.options.token);
      if (lastSequence !== undefined && lastSequence >= sequence) {
        this.options.onDurable(since);
        return AppendOutcome.durable;
      }
      if (journal.token() !== this.options.token) {
        return lastSequence === undefined ? AppendOutcome.unknown : AppendOutcome.fenced;
      }
      if (!isRequired) return AppendOutcome.notAppended;
      since = readStart;
      appendTimeoutMs = Math.min(MAX_APPEND_TIMEOUT_MS, appendTimeoutMs * 2);
    }
    return AppendOutcome.unknown;
  }

  /**
   * True when an acknowledged record is valid without a read: the lease has not ended, so that no claim of
   * another process can precede the record, and no unread record precedes it.
   */
  private isValidWithoutRead(offset: Offset): boolean {
    const { journal, isLeaseValid } = this.options;
    return isLeaseValid() && journal.hasState() && offset === journal.nextOffset();
  }
}

function isRefused(appended: Result<Offset, Failure>): boolean {
  return appended.isErr && appended.error.kind !== 'append-unknown';
}
