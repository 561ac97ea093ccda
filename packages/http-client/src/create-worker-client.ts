import { Result } from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import { Failure } from '@acaciahoist/errors';
import type { WorkerClient } from '@acaciahoist/types/worker-client';
import type { ExchangeResult } from './exchange-result.js';
import type { HttpClient } from './http-client.js';
import { JsonFields } from './json-fields.js';
import { readWorkerReport } from './read-worker-report.js';
import { WorkerClocks } from './worker-clocks.js';

type Reply = Extract<ExchangeResult, { type: 'reply' }>;

const MAX_REPORT_BYTES = 8 * 1024 * 1024;

function createUnknownOutcome(worker: string, message: string): Failure {
  return Failure.create('outcome-unknown', message, { sent: true, endpoint: worker });
}

/**
 * Returns a reply with status 200 and turns every other result into a failure. A 4xx other than 408
 * means that the worker refused the call; after any other status the call may have taken effect.
 */
function checkReply(worker: string, result: ExchangeResult): Result<Reply, Failure> {
  if (result.type === 'not-sent') {
    return Result.err(
      Failure.create('endpoint-failed', result.reason, { sent: false, endpoint: worker }),
    );
  }
  if (result.type === 'unknown') return Result.err(createUnknownOutcome(worker, result.reason));
  const { status } = result;
  if (status === 200) return Result.ok(result);
  if (status === 409) {
    return Result.err(
      Failure.create('stale', 'the worker has received a higher token', { endpoint: worker }),
    );
  }
  const message = `the worker answered with status ${status}`;
  if (status >= 400 && status < 500 && status !== 408) {
    return Result.err(Failure.create('bad-request', message, { status, endpoint: worker }));
  }
  return Result.err(createUnknownOutcome(worker, message));
}

/** Creates the client for the workers. It never sends a call twice. */
export function createWorkerClient(settings: {
  http: HttpClient;
  clock: Clock;
  /** Timeout of a call. Default 1,000. */
  timeoutMs?: number;
}): WorkerClient {
  const { http } = settings;
  const defaultTimeoutMs = settings.timeoutMs ?? 1_000;
  const workerClocks = WorkerClocks.create(settings.clock);

  async function send(
    worker: string,
    call: { path: string; body?: unknown; headers?: Record<string, string>; timeoutMs?: number },
  ): Promise<Result<Reply, Failure>> {
    const result = await http.call(worker, {
      method: call.body === undefined ? 'GET' : 'POST',
      path: call.path,
      headers: { 'content-type': 'application/json', ...call.headers },
      ...(call.body === undefined ? {} : { body: Buffer.from(JSON.stringify(call.body)) }),
      timeoutMs: call.timeoutMs ?? defaultTimeoutMs,
      maxResponseBytes: MAX_REPORT_BYTES,
    });
    if (result.type === 'reply') workerClocks.recordReply(worker, result.headers);
    return checkReply(worker, result);
  }

  async function sendAndRead<T>(
    worker: string,
    call: Parameters<typeof send>[1],
    read: (fields: JsonFields) => T,
  ): Promise<Result<T, Failure>> {
    const reply = await send(worker, call);
    return reply.andThen(({ body }) =>
      JsonFields.read(body, read).mapErr((reason) => createUnknownOutcome(worker, reason)),
    );
  }

  return {
    fence: (worker, token) =>
      sendAndRead(worker, { path: '/fence', body: { token } }, readWorkerReport),

    async start(worker, token, starts) {
      if (workerClocks.createHeaders(worker) === undefined) {
        const probe = await send(worker, { path: '/probe' });
        if (probe.isErr) {
          return Result.err(
            Failure.create('endpoint-failed', probe.error.message, {
              sent: false,
              endpoint: worker,
            }),
          );
        }
      }
      const longestDeadlineMs = Math.max(0, ...starts.map((start) => start.deadlineMs));
      const results = await sendAndRead(
        worker,
        {
          path: '/tasks',
          body: { token, starts },
          headers: workerClocks.createHeaders(worker) ?? {},
          timeoutMs: Math.min(defaultTimeoutMs, longestDeadlineMs),
        },
        (fields) =>
          fields.list('results', starts.length, (item) => ({
            taskId: item.text('taskId'),
            result: item.oneOf('result', ['started', 'known', 'refused']),
            reason: item.text('reason'),
          })),
      );
      return results.andThen((items) => {
        const matches =
          items.length === starts.length &&
          items.every((item, index) => item.taskId === starts[index]?.taskId);
        return matches
          ? Result.ok(items)
          : Result.err(
              createUnknownOutcome(worker, 'the results do not match the requested starts'),
            );
      });
    },

    renew: (worker, token, taskIds, leaseMs) =>
      sendAndRead(worker, { path: '/leases', body: { token, taskIds, leaseMs } }, () => undefined),

    sendActions: (worker, token, actions) =>
      sendAndRead(worker, { path: '/actions', body: { token, actions } }, () => undefined),

    readReport: (worker) => sendAndRead(worker, { path: '/usage' }, readWorkerReport),
  };
}
