import Result from 'true-myth/result';
import type { AppendOutcome } from '@acaciahoist/cell-log/append-outcome';
import type { AdviceClient } from '@acaciahoist/cell-types/advice-client';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';

type Request<Type extends keyof PeerCallMap> = PeerCallMap[Type]['request'];
type Reply<Type extends keyof PeerCallMap> = PeerCallMap[Type]['reply'];

interface Options {
  /** Another process offers help; returns the state of this process for the reply. */
  onHelpOffer: (offer: Request<'offer-help'>) => Reply<'offer-help'>;
  /** Another process announces that it owns the cell. */
  onOwnerChanged: (claim: Request<'owner-changed'>['claim']) => void;
  /** Appends a record for a process that gets no response from the store. */
  append: (data: Uint8Array) => Promise<AppendOutcome>;
  /** State of a job; undefined when the replica is not current. */
  readJobState: (job: string) => Promise<Reply<'relay-outcome'> | undefined>;
  /**
   * Records of the log from an offset on; undefined unless this process owns the cell, its replica is
   * current and it still keeps the records.
   */
  readLog: (call: Request<'read-log'>) => Promise<Reply<'read-log'> | undefined>;
  /** Part of the configuration in force; undefined when another version is, or too many parts are being sent. */
  readConfiguration: (
    call: Request<'read-cell-configuration'>,
  ) => Reply<'read-cell-configuration'> | undefined;
  /** Requests advice for the owner. */
  advise: AdviceClient;
}

/**
 * Answers the calls of other processes of the cell. The peer protocol has already checked the shapes of the
 * messages.
 */
export class PeerService {
  static create(options: Options): PeerService {
    return new PeerService(options);
  }

  private constructor(private readonly options: Options) {}

  /** Answers a call of this message type. */
  async answer(type: string, body: unknown): Promise<Result<unknown, Failure>> {
    switch (type) {
      case 'offer-help':
        return Result.ok(this.options.onHelpOffer(body as Request<'offer-help'>));
      case 'owner-changed':
        this.options.onOwnerChanged((body as Request<'owner-changed'>).claim);
        return Result.ok({});
      case 'relay-record':
        return Result.ok({
          outcome: await this.options.append((body as Request<'relay-record'>).data),
        });
      case 'relay-outcome':
        return this.answerJobState(body as Request<'relay-outcome'>);
      case 'read-log':
        return this.answerReadLog(body as Request<'read-log'>);
      case 'read-cell-configuration':
        return this.answerReadConfiguration(body as Request<'read-cell-configuration'>);
      case 'advise': {
        const { step, workers, timeoutMs } = body as Request<'advise'>;
        return Result.ok({ advice: await this.options.advise(step, workers, timeoutMs) });
      }
      default:
        return Result.err(
          Failure.create(ErrorKind.badRequest, `this process does not serve calls of type ${type}`),
        );
    }
  }

  private async answerJobState(call: Request<'relay-outcome'>): Promise<Result<unknown, Failure>> {
    const reply = await this.options.readJobState(call.job);
    if (reply !== undefined) return Result.ok(reply);
    return Result.err(
      Failure.create(
        ErrorKind.notOwner,
        `this process has no current replica to look up job ${call.job} in`,
      ),
    );
  }

  private answerReadConfiguration(
    call: Request<'read-cell-configuration'>,
  ): Result<unknown, Failure> {
    const part = this.options.readConfiguration(call);
    if (part !== undefined) return Result.ok(part);
    return Result.err(
      Failure.create(
        ErrorKind.overloaded,
        `this process cannot send version ${call.version} of the configuration at present`,
      ),
    );
  }

  private async answerReadLog(call: Request<'read-log'>): Promise<Result<unknown, Failure>> {
    const page = await this.options.readLog(call);
    if (page !== undefined) return Result.ok(page);
    return Result.err(
      Failure.create(
        ErrorKind.notOwner,
        `this process is not the owner or has no current records from offset ${call.from} on`,
      ),
    );
  }
}
