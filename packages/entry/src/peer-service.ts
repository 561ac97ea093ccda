import Result from 'true-myth/result';
import { formatFault } from '@acaciahoist/declaration/format-fault';
import { parseJobSpec } from '@acaciahoist/declaration/parse-job-spec';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import type { PeerCallType } from '@acaciahoist/peer-protocol/peer-call-type';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';
import type { ServiceRequest } from '@acaciahoist/types/service-request';
import type { EntryContext } from './entry-context.js';
import { exportAccount } from './export-account.js';
import { parseJobPartition } from './parse-job-partition.js';
import { formatHolderName } from './format-holder-name.js';
import type { OwnedPartition } from './owned-partition.js';
import type { PartitionSet } from './partition-set.js';
import type { SlotClient } from './slot-client.js';

type Reply<Type extends PeerCallType> = Promise<Result<PeerCallMap[Type]['reply'], Failure>>;
type Body<Type extends PeerCallType> = PeerCallMap[Type]['request'];
type Handlers = {
  [Type in PeerCallType]: (
    body: Body<Type>,
    from: ProcessIdentity,
    deadlineMs: number,
  ) => Reply<Type>;
};

interface Options {
  context: EntryContext;
  partitions: PartitionSet;
  slotClient: SlotClient;
  describeSelf: () => Body<'heartbeat'>;
  readConfiguration: () => PeerCallMap['read-configuration']['reply'] | undefined;
}

/** Answers the calls of other entry processes, and the calls that this process sends to itself as an owner. */
export class PeerService {
  static create(options: Options): PeerService {
    return new PeerService(options);
  }

  private readonly handlers: Handlers;

  private constructor(private readonly options: Options) {
    const { context } = options;
    const { membership } = context;
    // Only processes of the role `platform` serve these calls.
    const refuseUnserved = (): Promise<Result<never, Failure>> =>
      Promise.resolve(
        Result.err(
          Failure.create(ErrorKind.badRequest, 'an entry process does not serve this call'),
        ),
      );
    this.handlers = {
      'offer-help': refuseUnserved,
      'owner-changed': refuseUnserved,
      advise: refuseUnserved,
      'relay-record': refuseUnserved,
      'relay-outcome': refuseUnserved,
      'read-log': refuseUnserved,
      'read-cell-configuration': refuseUnserved,
      probe: () => Promise.resolve(Result.ok({})),
      heartbeat: (body, from) => Promise.resolve(Result.ok(membership.acceptHeartbeat(from, body))),
      digest: ({ views }) => Promise.resolve(Result.ok({ views: membership.acceptDigest(views) })),
      'forward-request': (body) => this.runKeyedRequest(body.partition, body.request),
      'forward-submit': (body) => this.submit(body),
      'forward-status': ({ jobId, waitMs, knownState }) =>
        this.withPartitionOfJob(jobId, (ownedPartition) =>
          ownedPartition.partitionOwner.waitForStatus(jobId, knownState, waitMs),
        ),
      'forward-cancel': ({ jobId }) =>
        this.withPartitionOfJob(jobId, (ownedPartition) =>
          ownedPartition.partitionOwner.cancel(jobId),
        ),
      'forward-account': ({ partition }) => this.readAccount(partition),
      'count-requests': async ({ partition, entry }) => {
        const counted = await this.withOwnedPartition(partition, (ownedPartition) =>
          ownedPartition.partitionOwner.countRequests(entry),
        );
        return counted.map(() => ({}));
      },
      'slot-request': (body, from, deadlineMs) => {
        const request = {
          ...body,
          deadlineMs: Math.min(body.deadlineMs, deadlineMs),
          holder: formatHolderName(from),
        };
        return this.withOwnedPartition(body.partition, (ownedPartition) =>
          ownedPartition.slotPool.acquire(request),
        );
      },
      'slot-release': ({ partition, grantId, result }) =>
        this.withOwnedPartition(partition, (ownedPartition) => {
          ownedPartition.slotPool.release(grantId, result);
          return Promise.resolve(Result.ok({}));
        }),
      'fence-slots': ({ partition, token }) => this.fenceSlots(partition, token),
      'read-configuration': () => this.readConfiguration(),
    };
  }

  /** Answers one call. Its body must have the shape of its type. */
  handle<Type extends PeerCallType>(
    type: Type,
    body: Body<Type>,
    from: ProcessIdentity,
    deadlineMs: number,
  ): Reply<Type> {
    return this.handlers[type](body, from, deadlineMs);
  }

  private withOwnedPartition<Value>(
    partition: string,
    run: (ownedPartition: OwnedPartition) => Promise<Result<Value, Failure>>,
  ): Promise<Result<Value, Failure>> {
    const ownedPartition = this.options.partitions.findHost(partition)?.currentOwnedPartition();
    if (ownedPartition !== undefined) return run(ownedPartition);
    const message = `this process does not own partition ${partition}`;
    return Promise.resolve(Result.err(Failure.create(ErrorKind.notOwner, message)));
  }

  private withPartitionOfJob<Value>(
    jobId: string,
    run: (ownedPartition: OwnedPartition) => Promise<Result<Value, Failure>>,
  ): Promise<Result<Value, Failure>> {
    return this.withOwnedPartition(parseJobPartition(jobId) ?? '', run);
  }

  private async submit(body: Body<'forward-submit'>): Reply<'forward-submit'> {
    const spec = parseJobSpec(body.spec);
    if (spec.isErr) {
      const message = `the job spec is malformed: ${spec.error.map(formatFault).join('; ')}`;
      return Result.err(Failure.create(ErrorKind.badRequest, message));
    }
    const submitted = await this.withOwnedPartition(body.partition, (ownedPartition) =>
      ownedPartition.partitionOwner.submit(spec.value, body.fallback),
    );
    return spec.value.key === undefined
      ? submitted
      : this.explainWithoutLease(body.partition, submitted);
  }

  /**
   * Changes `log-unavailable` to `key-unreachable` when this process has no valid lease, as another process
   * may be the owner and may have accepted the key.
   */
  private explainWithoutLease<Value>(
    partition: string,
    result: Result<Value, Failure>,
  ): Result<Value, Failure> {
    if (result.isOk || result.error.kind !== ErrorKind.logUnavailable) return result;
    const authority = this.options.partitions
      .findHost(partition)
      ?.currentOwnedPartition()
      ?.authority();
    if (authority === 'leased') return result;
    return Result.err(Failure.create(ErrorKind.keyUnreachable, result.error.message));
  }

  private async runKeyedRequest(
    partition: string,
    request: ServiceRequest,
  ): Reply<'forward-request'> {
    const { key } = request;
    if (key === null) {
      const message = `the forwarded request ${request.requestId} has no idempotency key`;
      return Result.err(Failure.create(ErrorKind.badRequest, message));
    }
    const declaration = this.options.partitions.currentDeclaration();
    const lane =
      declaration?.services.find((service) => service.name === request.service)?.lane ?? 'heavy';
    const result = await this.withOwnedPartition(partition, (ownedPartition) =>
      ownedPartition.keyedRequests.run({ ...request, key, lane }),
    );
    return this.explainWithoutLease(partition, result).andThen(
      ({ reply, isRepeated }): Result<PeerCallMap['forward-request']['reply'], Failure> => {
        if (reply.body === null) {
          const message = 'the request ran, but its reply was too large to be recorded';
          return Result.err(
            Failure.create(ErrorKind.outcomeUnknown, message, { bodyDigest: reply.bodyDigest }),
          );
        }
        const { status, contentType, body } = reply;
        return Result.ok({
          requestId: request.requestId,
          status,
          contentType,
          body,
          replayed: isRepeated,
        });
      },
    );
  }

  private fenceSlots(partition: string, token: number): Reply<'fence-slots'> {
    const { partitions, slotClient, context } = this.options;
    const host = partitions.findHost(partition);
    const ownedPartition = host?.currentOwnedPartition();
    // The newer claim is in the journal, but this process may not have read it yet.
    if (ownedPartition !== undefined && ownedPartition.token < token) ownedPartition.stopGranting();
    const stopped = ownedPartition === undefined || ownedPartition.token < token;
    const grants = [
      ...(host?.listOutstandingGrants() ?? []),
      ...slotClient.listOutstanding(partition),
    ];
    return Promise.resolve(
      Result.ok({ incarnation: context.identity.incarnation, stopped, grants }),
    );
  }

  private readAccount(partition: string): Reply<'forward-account'> {
    const host = this.options.partitions.findHost(partition);
    return this.withOwnedPartition(partition, () =>
      Promise.resolve(
        host === undefined
          ? Result.err(
              Failure.create(
                ErrorKind.notOwner,
                `this process does not follow partition ${partition}`,
              ),
            )
          : Result.ok(exportAccount(partition, host.state())),
      ),
    );
  }

  private readConfiguration(): Reply<'read-configuration'> {
    const configuration = this.options.readConfiguration();
    return Promise.resolve(
      configuration === undefined
        ? Result.err(Failure.create(ErrorKind.notReady, 'this process has no configuration yet'))
        : Result.ok(configuration),
    );
  }
}
