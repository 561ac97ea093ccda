import Result from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import type { CallerCall } from '@acaciahoist/types/caller-call';
import type { HttpRequest } from '@acaciahoist/types/http-request';
import type { JobSpec } from '@acaciahoist/types/job-spec';
import { readInteger } from './read-integer.js';

/** Longest time for which one status call may wait for a change. */
const MAX_STATUS_WAIT_MS = 60_000;
const MAX_DEADLINE_MS = 3_600_000;
const DEFAULT_SUBMIT_DEADLINE_MS = 10_000;
const MAX_KEY_CHARACTERS = 256;

interface Options {
  /** Checks a submitted job spec; returns it or a failure that names the field. */
  parseJobSpec: (value: unknown) => Result<JobSpec, Failure>;
}

type CallResult = Result<CallerCall, Failure>;

/** Reads an HTTP request of a caller. Fails with `bad-request` or `not-found`. */
export function readCallerCall(request: HttpRequest, options: Options): CallResult {
  const url = parseTarget(request.target);
  if (url === undefined)
    return reject(ErrorKind.badRequest, `the request target "${request.target}" is malformed`);
  const [resource, ...rest] = url.pathname.split('/').filter((part) => part !== '');
  const route = `${request.method} ${resource ?? ''}${rest.length > 0 ? '/:' : ''}`;
  const name = decodeName(rest.join('/'));
  switch (route) {
    case 'POST services/:':
      return readServiceRequest(request, name);
    case 'POST jobs':
      return readSubmission(request, options);
    case 'GET jobs/:':
      return readStatus(url, name);
    case 'DELETE jobs/:':
      return Result.ok({ type: 'cancel', jobId: name });
    case 'GET account':
      return Result.ok({
        type: 'account',
        user: url.searchParams.get('user') ?? '',
        period: url.searchParams.get('period') ?? '',
      });
    case 'GET configuration':
      return Result.ok({ type: 'read-configuration' });
    case 'POST configuration':
      return readPublication(request);
    case 'GET dump':
      return Result.ok({ type: 'dump' });
    case 'GET health':
      return Result.ok({ type: 'health' });
    case 'GET ready':
      return Result.ok({ type: 'ready' });
    default:
      return reject(
        ErrorKind.notFound,
        `no such call: ${request.method} ${url.pathname}; see docs/callers.md`,
      );
  }
}

function readServiceRequest(request: HttpRequest, service: string): CallResult {
  const key = request.headers['idempotency-key'] ?? null;
  if (key !== null && (key === '' || key.length > MAX_KEY_CHARACTERS)) {
    return reject(
      ErrorKind.badRequest,
      `header idempotency-key must have 1 to ${MAX_KEY_CHARACTERS} characters`,
    );
  }
  const deadline = readInteger(
    request.headers['x-deadline-ms'],
    'header x-deadline-ms',
    1,
    MAX_DEADLINE_MS,
  );
  if (deadline.isErr) return Result.err(deadline.error);
  return Result.ok({
    type: 'request',
    service,
    user: request.headers['x-user'] ?? '',
    key,
    contentType: request.headers['content-type'] ?? 'application/octet-stream',
    body: request.body,
    deadlineMs: deadline.value ?? null,
  });
}

function readSubmission(request: HttpRequest, options: Options): CallResult {
  const json = readJson(request.body);
  if (json.isErr) return Result.err(json.error);
  const deadline = readInteger(
    request.headers['x-deadline-ms'],
    'header x-deadline-ms',
    1,
    MAX_DEADLINE_MS,
  );
  if (deadline.isErr) return Result.err(deadline.error);
  const deadlineMs = deadline.value ?? DEFAULT_SUBMIT_DEADLINE_MS;
  return options
    .parseJobSpec(json.value)
    .map((spec): CallerCall => ({ type: 'submit', spec, deadlineMs }));
}

function readStatus(url: URL, name: string): CallResult {
  const waitMs = readInteger(
    url.searchParams.get('waitMs') ?? undefined,
    'parameter waitMs',
    0,
    MAX_STATUS_WAIT_MS,
  );
  if (waitMs.isErr) return Result.err(waitMs.error);
  // `/jobs/<id>/why` returns the same status, which contains the reason.
  const jobId = name.replace(/\/why$/, '');
  const knownState = url.searchParams.get('knownState') ?? '';
  return Result.ok({ type: 'status', jobId, waitMs: waitMs.value ?? 0, knownState });
}

function readPublication(request: HttpRequest): CallResult {
  const json = readJson(request.body);
  if (json.isErr) return Result.err(json.error);
  const { baseRevision, text } = (json.value ?? {}) as Record<string, unknown>;
  if (typeof baseRevision !== 'number' || !Number.isSafeInteger(baseRevision) || baseRevision < 0) {
    return reject(ErrorKind.badRequest, 'field "baseRevision" must be an integer of at least 0');
  }
  if (typeof text !== 'string')
    return reject(ErrorKind.badRequest, 'field "text" must be a string');
  return Result.ok({ type: 'publish', baseRevision, text });
}

function readJson(body: Uint8Array): Result<unknown, Failure> {
  try {
    return Result.ok(JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(body)) as unknown);
  } catch {
    return Result.err(Failure.create(ErrorKind.badRequest, 'the body is not valid JSON in UTF-8'));
  }
}

function parseTarget(target: string): URL | undefined {
  try {
    return new URL(target, 'http://entry');
  } catch {
    // An example is `//`, which the URL standard reads as an empty host name.
    return undefined;
  }
}

function decodeName(name: string): string {
  try {
    return decodeURIComponent(name);
  } catch {
    // No job or service has a name with a malformed escape sequence.
    return '';
  }
}

function reject(kind: ErrorKind, message: string): CallResult {
  return Result.err(Failure.create(kind, message));
}
