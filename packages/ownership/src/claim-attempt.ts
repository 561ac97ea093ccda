import { err, ok, type Result } from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import { Instant } from '@acaciahoist/clock/instant';
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
const SUCCESSOR_WAIT = { driftFactor: 1.02, marginMs: 100 };
/** Largest number of appends of one claim; then the attempt fails with an unknown result. */
const MAX_APPENDS = 4;
/** Longest time for which one read waits for a record of the predecessor. */
const POLL_MS = 500;

/** Settings of a claim attempt. Times are in ms. */
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
  /** Time before which the claim was certainly not appended; its lease counts from here. */
  leaseStart: Instant;
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
    const readStart = Instant.create(clock);
    const read = await reader.stream.readToEnd();
    if (read.isErr) return err(read.error);
    this.replaces = reader.journal.lastOwnerRecord();
    if (reader.journal.holder() !== undefined) {
      const waitResult = await this.waitForLeaseEnd();
      if (waitResult.isErr) return err(waitResult.error);
    }
    return this.appendClaim(readStart);
  }

  /** Counts on the monotonic clock alone: a wait that ignores a suspension is too long and never too short. */
  private async waitForLeaseEnd(): Promise<Result<void, Failure>> {
    const { clock, reader, leaseMs } = this.options;
    const waitMs = leaseMs * SUCCESSOR_WAIT.driftFactor + SUCCESSOR_WAIT.marginMs;
    const untilMs = reader.ownerRecordReadAtMs() + waitMs;
    for (;;) {
      const remainingMs = untilMs - clock.monotonicMs();
      if (remainingMs <= 0) return ok(undefined);
      if (this.options.isClosed()) return err(createStoppingFailure());
      const page = await reader.stream.readOnce(Math.min(POLL_MS, remainingMs));
      if (reader.journal.lastOwnerRecord() !== this.replaces)
        return err(this.createNotOwnerFailure());
      // Without this delay a log that refuses reads immediately would be called in a tight loop. The wait
      // ends with the lease even if no read succeeds.
      if (page.isErr) await sleep(clock, Math.min(POLL_MS, remainingMs));
    }
  }

  /** Appends the claim, again after an unknown result, until the stream shows which claim is valid. */
  private async appendClaim(firstReadStart: Instant): Promise<Result<ValidClaim, Failure>> {
    const { identity, clock, log, reader, appendTimeoutMs, isClosed } = this.options;
    const encoded = encodeRecord({ type: 'claim', holder: identity, replaces: this.replaces });
    if (encoded.isErr) return err(encoded.error);
    let previousReadStart = firstReadStart;
    for (let attempt = 0; attempt < MAX_APPENDS; attempt += 1) {
      if (isClosed()) return err(createStoppingFailure());
      const readStart = Instant.create(clock);
      if (attempt === 0) {
        const read = await reader.stream.readToEnd();
        if (read.isErr) return err(read.error);
      } else if ((await reader.stream.readPast(-1, clock, isClosed)) === undefined) {
        return err(createStoppingFailure());
      }
      // A delayed claim of an earlier attempt may be the valid one. The previous read did not contain
      // it, so its lease counts from the start of that read.
      if (this.isClaimDecided()) return this.evaluateClaim(previousReadStart);
      previousReadStart = readStart;
      const appended = await log.append(encoded.value, appendTimeoutMs);
      if (appended.isErr && appended.error.kind !== 'append-unknown') {
        if (attempt === 0) return err(appended.error);
        continue;
      }
      const offset = appended.isOk ? appended.value : -1;
      const lastReadStart = await reader.stream.readPast(offset, clock, isClosed);
      if (lastReadStart === undefined) return err(createStoppingFailure());
      if (this.isClaimDecided()) return this.evaluateClaim(readStart);
    }
    return err(
      Failure.create(
        'append-unknown',
        'The claim may have been appended, and reading the stream did not show it.',
      ),
    );
  }

  /** True when the stream contains a valid owner record after the one that the claim replaces. */
  private isClaimDecided(): boolean {
    return this.options.reader.journal.lastOwnerRecord() !== this.replaces;
  }

  /** Returns the claim if the newest owner record is from this process, and a failure otherwise. */
  private evaluateClaim(leaseStart: Instant): Result<ValidClaim, Failure> {
    const { identity, reader } = this.options;
    const { journal } = reader;
    const holder = journal.holder();
    const isOwn =
      holder?.process === identity.process && holder.incarnation === identity.incarnation;
    if (!isOwn || journal.token() <= this.replaces) return err(this.createNotOwnerFailure());
    return ok({ token: journal.token(), leaseStart });
  }

  private createNotOwnerFailure(): Failure {
    const holder = this.options.reader.journal.holder();
    const ownerName = holder === undefined ? 'nobody' : holder.process;
    return Failure.create(
      'not-owner',
      `Partition ${this.options.reader.journal.partition} is owned by ${ownerName}.`,
      { holder },
    );
  }
}

function createStoppingFailure(): Failure {
  return Failure.create('not-ready', 'The process is stopping.');
}
