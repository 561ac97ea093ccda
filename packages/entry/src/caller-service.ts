import Result from 'true-myth/result';
import { readCallerCall } from '@acaciahoist/caller-protocol';
import { writeResponse } from '@acaciahoist/caller-protocol/write-response';
import { parseJobSpec } from '@acaciahoist/declaration/parse-job-spec';
import { formatFault } from '@acaciahoist/declaration/format-fault';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import type { RequestRouter } from '@acaciahoist/request-router';
import type { CallerCall } from '@acaciahoist/types/caller-call';
import type { Declaration } from '@acaciahoist/types/declaration';
import type { HttpResponse } from '@acaciahoist/types/http-response';
import type { HttpRequest } from '@acaciahoist/types/http-request';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import type { SubmissionReply } from '@acaciahoist/types/submission-reply';
import type { JobStatus } from '@acaciahoist/types/job-status';
import type { ServiceDeclaration } from '@acaciahoist/types/service-declaration';
import type { TokenGrant } from '@acaciahoist/types/token-grant';
import { chooseFallbackPartition } from './choose-fallback-partition.js';
import { chooseSubmitPartition } from './choose-submit-partition.js';
import type { EntryContext } from './entry-context.js';
import { explainKeyedFailure } from './explain-keyed-failure.js';
import { findTokenGrant } from './find-token-grant.js';
import { parseJobPartition } from './parse-job-partition.js';
import type { OperatorService } from './operator-service.js';
import type { OwnerCaller } from './owner-caller.js';
import type { PartitionSet } from './partition-set.js';
import type { RequestCounter } from './request-counter.js';

type Call<Type extends CallerCall['type']> = Extract<CallerCall, { type: Type }>;

/** Timeout of a call about a job, added to the time for which the call may wait for a change. */
const JOB_CALL_TIMEOUT_MS = 5_000;

interface Options {
  context: EntryContext;
  partitions: PartitionSet;
  ownerCaller: OwnerCaller;
  router: RequestRouter;
  requestCounter: RequestCounter;
  operatorService: OperatorService;
  isReady: () => boolean;
}

/** Answers HTTP requests of callers and operators. */
export class CallerService {
  static create(options: Options): CallerService {
    return new CallerService(options);
  }

  private constructor(private readonly options: Options) {}

  /** Answers one request, and records its number and duration in the metrics once it is authorized. */
  async handle(request: HttpRequest): Promise<HttpResponse> {
    const { context } = this.options;
    const startedAtMs = context.clock.monotonicMs();
    const call = readCallerCall(request, { parseJobSpec: parseSubmittedSpec });
    if (call.isErr) return writeResponse(call);
    const grant = findTokenGrant(
      context.settings.tokens,
      call.value,
      request.headers.authorization,
    );
    if (grant === undefined) {
      const message = `the token does not permit "${call.value.type}"; see "tokens" in the settings`;
      return writeResponse(Result.err(Failure.create(ErrorKind.forbidden, message)));
    }
    const response = await this.answer(call.value, grant);
    context.metrics.timing('calls.ms', context.clock.monotonicMs() - startedAtMs, {
      call: call.value.type,
    });
    context.metrics.count('calls.count', 1, {
      call: call.value.type,
      status: String(response.status),
    });
    return response;
  }

  private async answer(call: CallerCall, grant: TokenGrant | null): Promise<HttpResponse> {
    const { operatorService } = this.options;
    switch (call.type) {
      case 'health':
        return writeResponse(Result.ok(operatorService.describeHealth()));
      case 'ready':
        return this.answerReady();
      case 'dump':
        return writeResponse(Result.ok(operatorService.dump()));
      case 'read-configuration':
        return writeResponse(operatorService.readConfiguration());
      case 'publish':
        return writeResponse(
          await operatorService.publish(call.baseRevision, call.text, grant?.operator ?? ''),
        );
      case 'account':
        return writeResponse(
          await operatorService.readAccount(call.user, call.period, grant?.users ?? []),
        );
      case 'request':
        return this.answerRequest(call, grant);
      case 'submit':
        return writeResponse(await this.submit(call, grant), 201);
      case 'status':
        return writeResponse(await this.readStatus(call, grant));
      case 'cancel':
        return writeResponse(await this.cancel(call, grant));
    }
  }

  private async readStatus(
    call: Call<'status'>,
    grant: TokenGrant | null,
  ): Promise<Result<JobStatus, Failure>> {
    const { jobId, waitMs, knownState } = call;
    const body = { jobId, waitMs, knownState };
    const partition = parseJobPartition(jobId) ?? '';
    const { ownerCaller } = this.options;
    const status = await ownerCaller.call(
      partition,
      'forward-status',
      body,
      waitMs + JOB_CALL_TIMEOUT_MS,
    );
    return status.andThen((value) => checkJobUser(value, grant));
  }

  /** Reads the job first, so that a token cannot cancel the work of another user. */
  private async cancel(
    call: Call<'cancel'>,
    grant: TokenGrant | null,
  ): Promise<Result<JobStatus, Failure>> {
    const { jobId } = call;
    const status = await this.readStatus(
      { type: 'status', jobId, waitMs: 0, knownState: '' },
      grant,
    );
    if (status.isErr) return status;
    const partition = parseJobPartition(jobId) ?? '';
    return this.options.ownerCaller.call(
      partition,
      'forward-cancel',
      { jobId },
      JOB_CALL_TIMEOUT_MS,
    );
  }

  private answerReady(): HttpResponse {
    if (this.options.isReady()) return writeResponse(Result.ok({ ready: true }));
    return writeResponse(
      Result.err(Failure.create(ErrorKind.notReady, 'the process is starting or stopping')),
    );
  }

  private async submit(
    call: Call<'submit'>,
    grant: TokenGrant | null,
  ): Promise<Result<{ jobId: string }, Failure>> {
    const { partitions, context } = this.options;
    const declaration = partitions.currentDeclaration();
    const { spec, deadlineMs } = call;
    if (declaration === undefined) return refuseUndeclared(spec.key);
    const failure = findSubmitFailure(declaration, spec, grant);
    if (failure !== undefined) return Result.err(failure);
    const { membership, settings, clock } = context;
    const layout = partitions.currentLayout();
    const partition = chooseSubmitPartition(spec.key, layout, membership, settings.dataCentre);
    if (partition === undefined) return refuseUndeclared(spec.key);
    const deadlineAtMs = clock.monotonicMs() + deadlineMs;
    const fallback = chooseFallbackPartition(partition, layout, membership, settings.dataCentre);
    let submitted = await this.forwardSubmission(partition, {
      spec,
      deadlineMs,
      ...(fallback !== undefined && { fallback }),
    });
    if (submitted.isOk && 'delegatedTo' in submitted.value) {
      const remainingMs = Math.max(0, deadlineAtMs - clock.monotonicMs());
      submitted = await this.forwardSubmission(submitted.value.delegatedTo, {
        spec,
        deadlineMs: remainingMs,
      });
    }
    if (spec.key === undefined) return extractJobId(submitted);
    return extractJobId(submitted).mapErr(explainKeyedFailure);
  }

  private forwardSubmission(
    partition: string,
    body: Omit<PeerCallMap['forward-submit']['request'], 'partition'>,
  ): Promise<Result<SubmissionReply, Failure>> {
    const call = { partition, ...body };
    return this.options.ownerCaller.call(partition, 'forward-submit', call, body.deadlineMs);
  }

  private async answerRequest(
    call: Call<'request'>,
    grant: TokenGrant | null,
  ): Promise<HttpResponse> {
    const declaration = this.options.partitions.currentDeclaration();
    if (declaration === undefined) return writeResponse(refuseUndeclared(call.key ?? undefined));
    const service = declaration.services.find(({ name }) => name === call.service);
    if (service === undefined) {
      return writeResponse(
        Result.err(Failure.create(ErrorKind.notFound, `no service "${call.service}" is declared`)),
      );
    }
    if (grant !== null && !grant.users.includes(service.user)) {
      const message = `the token does not permit requests for user "${service.user}"`;
      return writeResponse(Result.err(Failure.create(ErrorKind.forbidden, message)));
    }
    const deadlineMs = Math.min(call.deadlineMs ?? service.deadlineMs, service.deadlineMs);
    if (call.key !== null) return this.answerKeyed(call, service, call.key, deadlineMs);
    if (!service.repeatable) {
      const message = `requests of service "${service.name}" must not run twice; send the header idempotency-key`;
      return writeResponse(Result.err(Failure.create(ErrorKind.badRequest, message)));
    }
    const { context, router } = this.options;
    const requestId = context.createId();
    const { name, user, team, lane } = service;
    const { contentType, body } = call;
    const reply = await router.route({
      requestId,
      service: name,
      user,
      team,
      lane,
      contentType,
      body,
      deadlineMs,
    });
    if (reply.isErr) return writeResponse(reply);
    return createServiceResponse(
      requestId,
      reply.value.status,
      reply.value.contentType,
      reply.value.body,
      false,
    );
  }

  private async answerKeyed(
    call: Call<'request'>,
    service: ServiceDeclaration,
    key: string,
    deadlineMs: number,
  ): Promise<HttpResponse> {
    const { context, ownerCaller, partitions, requestCounter } = this.options;
    const partition = partitions.currentLayout().findByKey(key);
    if (partition === undefined) return writeResponse(refuseUndeclared(key));
    const requestId = context.createId();
    const { name, user, team } = service;
    const { contentType, body } = call;
    const request = { requestId, service: name, user, team, key, contentType, body, deadlineMs };
    const reply = await ownerCaller.call(
      partition,
      'forward-request',
      { partition, request },
      deadlineMs,
    );
    if (reply.isOk) {
      const { status, replayed } = reply.value;
      return createServiceResponse(
        requestId,
        status,
        reply.value.contentType,
        reply.value.body,
        replayed,
      );
    }
    const failure = explainKeyedFailure(reply.error);
    // No request with the key ran, and the owner could append no record of this one, so it is counted here.
    if (failure.kind === ErrorKind.logUnavailable) {
      requestCounter.addRow({ user, team, service: name, outcome: 'refused', count: 1, waitMs: 0 });
    }
    return writeResponse(Result.err(failure));
  }
}

/** Reports a job of another user as not found, so that callers cannot find out which job ids exist. */
function checkJobUser(status: JobStatus, grant: TokenGrant | null): Result<JobStatus, Failure> {
  if (grant === null || grant.users.includes(status.spec.user)) return Result.ok(status);
  return Result.err(
    Failure.create(
      ErrorKind.notFound,
      `no job ${status.jobId} of the users that the token permits`,
    ),
  );
}

function parseSubmittedSpec(value: unknown): ReturnType<typeof convertFaults> {
  return convertFaults(parseJobSpec(value));
}

function convertFaults(
  parsed: ReturnType<typeof parseJobSpec>,
): Result<Call<'submit'>['spec'], Failure> {
  return parsed.mapErr((faults) =>
    Failure.create(ErrorKind.badRequest, faults.map(formatFault).join('\n'), { faults }),
  );
}

function findSubmitFailure(
  declaration: Declaration,
  spec: Call<'submit'>['spec'],
  grant: TokenGrant | null,
): Failure | undefined {
  const user = declaration.users.find((candidate) => candidate.name === spec.user);
  if (user?.teams.some((team) => team.name === spec.team) !== true) {
    return Failure.create(
      ErrorKind.badRequest,
      `user "${spec.user}" with team "${spec.team}" is not declared`,
    );
  }
  if (grant !== null && !grant.users.includes(spec.user)) {
    return Failure.create(
      ErrorKind.forbidden,
      `the token does not permit work for user "${spec.user}"`,
    );
  }
  return undefined;
}

/**
 * Returns the job id of a submission. A second delegation is an internal error: the submission to a fallback
 * partition names no further fallback.
 */
function extractJobId(
  submitted: Result<SubmissionReply, Failure>,
): Result<{ jobId: string }, Failure> {
  return submitted.andThen((submission): Result<{ jobId: string }, Failure> => {
    if ('jobId' in submission) return Result.ok(submission);
    const message = `the key was delegated a second time, to partition ${submission.delegatedTo}`;
    return Result.err(Failure.create(ErrorKind.internal, message));
  });
}

/** Without a declaration a process that has just started cannot find the owner of the key either. */
function refuseUndeclared(key: string | undefined): Result<never, Failure> {
  const message = 'no declaration is in force; publish one with "acaciahoist apply"';
  const failure = Failure.create(ErrorKind.notReady, message);
  return Result.err(key === undefined ? failure : explainKeyedFailure(failure));
}

function createServiceResponse(
  requestId: string,
  status: number,
  contentType: string,
  body: Uint8Array,
  replayed: boolean,
): HttpResponse {
  const headers = {
    'content-type': contentType,
    'x-request-id': requestId,
    'x-replayed': String(replayed),
  };
  return { status, headers, body };
}
