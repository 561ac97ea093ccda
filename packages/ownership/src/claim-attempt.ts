import { err, ok, type Result } from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import { Failure } from '@acaciahoist/errors';
import { sleep } from '@acaciahoist/group-commit/sleep';
import { encodeRecord } from '@acaciahoist/journal/encode-record';
import type { LogStream } from '@acaciahoist/types/log-stream';
import type { Offset } from '@acaciahoist/types/offset';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';
import type { JournalReader } from './journal-reader.js';

/**
 * Extends the wait for the end of the predecessor's lease: 2% for the different rates of two monotonic
 * clocks, and 100 ms for the time between reading a record and storing when it was read.
 */
const SUCCESSOR_WAIT = { factor: 1.02, marginMs: 100 };
/** Appends of a claim before the attempt fails with an unknown result. */
const MAX_ATTEMPTS = 4;
/** Longest time for which one read waits for a record of the predecessor. */
const POLL_MS = 500;

interface ClaimOptions {
  identity: ProcessIdentity;
  clock: Clock;
  log: LogStream;
  reader: JournalReader;
  leaseMs: number;
  appendTimeoutMs: number;
  /** True when the process is stopping. */
  isClosed: () => boolean;
}

/** A claim that the stream shows to be valid. */
interface ValidClaim {
  token: Offset;
  /** Monotonic time before which the claim was certainly not appended; its lease counts from here. */
  leaseStartMs: number;
}

/**
 * Waits for the end of the predecessor's lease, appends a claim and reads the stream until it shows
 * whether the claim is valid.
 */
export class ClaimAttempt {
  static create(options: ClaimOptions): ClaimAttempt {
    return new ClaimAttempt(options);
  }

  /** Offset of the owner record that the claim replaces. */
  private replaces: Offset = -1;

  private constructor(private readonly options: ClaimOptions) {}

  /**
   * Fails with `not-owner` when another owner is alive or claimed first, with `log-unavailable` when
   * no claim was appended, and with `append-unknown` when one may still be appended.
   */
  async run(): Promise<Result<ValidClaim, Failure>> {
    const { clock, reader } = this.options;
    const readMs = clock.monotonicMs();
    const read = await reader.stream.readToEnd();
    if (read.isErr) return err(read.error);
    this.replaces = reader.journal.lastOwnerRecord();
    if (reader.journal.holder() !== undefined) {
      const waited = await this.waitForLeaseEnd();
      if (waited.isErr) return err(waited.error);
    }
    return this.appendClaim(readMs);
  }

  private async waitForLeaseEnd(): Promise<Result<void, Failure>> {
    const { clock, reader, leaseMs } = this.options;
    const waitMs = leaseMs * SUCCESSOR_WAIT.factor + SUCCESSOR_WAIT.marginMs;
    const untilMs = reader.ownerRecordReadAtMs() + waitMs;
    for (;;) {
      const remainingMs = untilMs - clock.monotonicMs();
      if (remainingMs <= 0) return ok(undefined);
      if (this.options.isClosed()) return err(createStoppingFailure());
      const page = await reader.stream.readOnce(Math.min(POLL_MS, remainingMs));
      if (reader.journal.lastOwnerRecord() !== this.replaces)
        return err(this.createNotOwnerFailure());
      // Delays the next read, as a log that rejects reads at once would be called in a tight loop. The
      // lease ends also without a successful read.
      if (page.isErr) await sleep(clock, Math.min(POLL_MS, remainingMs));
    }
  }

  private async appendClaim(firstReadMs: number): Promise<Result<ValidClaim, Failure>> {
    const { identity, clock, log, reader, appendTimeoutMs, isClosed } = this.options;
    const encoded = encodeRecord({ type: 'claim', holder: identity, replaces: this.replaces });
    if (encoded.isErr) return err(encoded.error);
    let previousReadMs = firstReadMs;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      if (isClosed()) return err(createStoppingFailure());
      const readMs = clock.monotonicMs();
      if (attempt === 0) {
        const read = await reader.stream.readToEnd();
        if (read.isErr) return err(read.error);
      } else if ((await reader.stream.readPast(-1, clock, isClosed)) === undefined) {
        return err(createStoppingFailure());
      }
      // A delayed claim of an earlier attempt may be the valid one. The previous read did not contain
      // it, so its lease counts from the start of that read.
      if (this.isDecided()) return this.evaluateClaim(previousReadMs);
      previousReadMs = readMs;
      const appended = await log.append(encoded.value, appendTimeoutMs);
      if (appended.isErr && appended.error.kind !== 'append-unknown') {
        if (attempt === 0) return err(appended.error);
        continue;
      }
      const offset = appended.isOk ? appended.value : -1;
      const confirmedMs = await reader.stream.readPast(offset, clock, isClosed);
      if (confirmedMs === undefined) return err(createStoppingFailure());
      if (this.isDecided()) return this.evaluateClaim(readMs);
    }
    return err(
      Failure.create(
        'append-unknown',
        'The claim may have been appended, and reading the stream did not show it.',
      ),
    );
  }

  private isDecided(): boolean {
    return this.options.reader.journal.lastOwnerRecord() !== this.replaces;
  }

  private evaluateClaim(leaseStartMs: number): Result<ValidClaim, Failure> {
    const { identity, reader } = this.options;
    const { journal } = reader;
    const holder = journal.holder();
    const isOwn =
      holder?.process === identity.process && holder.incarnation === identity.incarnation;
    if (!isOwn || journal.token() <= this.replaces) return err(this.createNotOwnerFailure());
    return ok({ token: journal.token(), leaseStartMs });
  }

  private createNotOwnerFailure(): Failure {
    const holder = this.options.reader.journal.holder();
    const name = holder === undefined ? 'nobody' : holder.process;
    return Failure.create('not-owner', `The partition is owned by ${name}.`, { holder });
  }
}

function createStoppingFailure(): Failure {
  return Failure.create('not-ready', 'The process is stopping.');
}
