import { err, ok, type Result } from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import { Failure } from '@acaciahoist/errors';
import type { Configuration } from '@acaciahoist/configuration';
import { encodeConfigurationRecord } from '@acaciahoist/configuration/encode-configuration-record';
import type { PublicationVerdict } from '@acaciahoist/configuration/publication-verdict';
import type { ConfigurationRecord } from '@acaciahoist/types/configuration-record';
import type { LogStream } from '@acaciahoist/types/log-stream';
import type { StreamReader } from '@acaciahoist/group-commit/stream-reader';

/** Largest number of appends of one publication; then the attempt fails with an unknown result. */
const MAX_APPENDS = 3;

type Publication = ConfigurationRecord & { type: 'publication' };

/** Time from the first append after which the attempt fails with an unknown result. */
const RESULT_TIMEOUT_MS = 10_000;

/** Settings of a publication attempt. Times are in ms. */
interface PublicationOptions {
  publication: Publication;
  clock: Clock;
  log: LogStream;
  reader: StreamReader;
  configuration: Configuration;
  appendTimeoutMs: number;
}

/**
 * Publishes one revision and reads its result from the stream. The record may be appended more than
 * once, as its base revision allows at most one copy to be accepted.
 */
export class PublicationAttempt {
  static create(options: PublicationOptions): PublicationAttempt {
    return new PublicationAttempt(options);
  }

  private verdict: PublicationVerdict | undefined;

  private constructor(private readonly options: PublicationOptions) {}

  /**
   * Receives each verdict that is replayed while the attempt runs. The verdict on the first copy of this
   * publication counts: further copies conflict with the first.
   */
  observe(verdict: PublicationVerdict): void {
    const { publication } = this.options;
    const { baseRevision, text, operator, atMs } = verdict.publication;
    const isOwn =
      baseRevision === publication.baseRevision &&
      operator === publication.operator &&
      atMs === publication.atMs &&
      text === publication.text;
    if (isOwn) this.verdict ??= verdict;
  }

  /** Resolves with the new revision; see `ConfigurationFollower.publish` for the failures. */
  async run(): Promise<Result<number, Failure>> {
    const { publication, clock, log, reader, configuration } = this.options;
    const encoded = encodeConfigurationRecord(publication);
    if (encoded.isErr) return err(encoded.error);
    const read = await reader.readToEnd();
    if (read.isErr) return err(read.error);
    const inForce = configuration.current();
    if (inForce.revision !== publication.baseRevision)
      return err(this.createConflictFailure(inForce));
    const deadlineAtMs = clock.monotonicMs() + RESULT_TIMEOUT_MS;
    let mayBeAppended = false;
    for (let attempt = 0; attempt < MAX_APPENDS; attempt += 1) {
      const appended = await log.append(encoded.value, this.options.appendTimeoutMs);
      if (appended.isErr && appended.error.kind !== 'append-unknown' && !mayBeAppended) {
        return err(appended.error);
      }
      mayBeAppended = true;
      const offset = appended.isOk ? appended.value : -1;
      const isTimedOut = () => clock.monotonicMs() >= deadlineAtMs;
      const lastReadStart = await reader.readPast(offset, clock, isTimedOut);
      if (this.verdict !== undefined) return this.createResult(this.verdict);
      if (lastReadStart === undefined) break;
    }
    const message =
      'The publication was sent and its result is unknown; the configuration in force will show it.';
    return err(Failure.create('append-unknown', message));
  }

  private createResult(verdict: PublicationVerdict): Result<number, Failure> {
    if (verdict.result === 'accepted') return ok(verdict.revision);
    if (verdict.result === 'conflict') return err(this.createConflictFailure(verdict));
    const message = 'The processes that read the stream rejected the declaration.';
    return err(Failure.create('bad-declaration', message));
  }

  private createConflictFailure(inForce: {
    revision: number;
    text: string;
    operator: string;
  }): Failure {
    const { baseRevision, text } = this.options.publication;
    const { revision, operator } = inForce;
    const message = `Revision ${baseRevision} is not in force: ${operator || 'nobody'} published revision ${revision}.`;
    return Failure.create('revision-conflict', message, {
      revision,
      operator,
      text: inForce.text,
      ownText: text,
    });
  }
}
