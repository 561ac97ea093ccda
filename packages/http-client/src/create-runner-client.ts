import { Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import type { RunnerClient } from '@acaciahoist/types/runner-client';
import type { HttpClient } from './http-client.js';

/** Creates the client for the runners. It returns every complete reply, whatever its status. */
export function createRunnerClient(settings: {
  http: HttpClient;
  /** Largest size of the body of a reply. Default 4 MiB. */
  maxResponseBytes?: number;
}): RunnerClient {
  return async (runner, request) => {
    const result = await settings.http.call(runner, {
      method: 'POST',
      path: '/run',
      headers: {
        'content-type': request.contentType,
        'x-service': request.service,
      },
      body: request.body,
      timeoutMs: request.deadlineMs,
      statesDeadline: true,
      requestId: request.requestId,
      maxResponseBytes: settings.maxResponseBytes ?? 4 * 1024 * 1024,
    });
    if (result.type === 'not-sent') {
      return Result.err(
        Failure.create('endpoint-failed', result.reason, { sent: false, endpoint: runner }),
      );
    }
    if (result.type === 'unknown') {
      return Result.err(
        Failure.create('outcome-unknown', result.reason, { sent: true, endpoint: runner }),
      );
    }
    const incarnation = result.headers['x-incarnation'];
    if (incarnation === undefined) {
      return Result.err(
        Failure.create(
          'outcome-unknown',
          'the reply does not state the incarnation of the runner',
          {
            sent: true,
            endpoint: runner,
          },
        ),
      );
    }
    return Result.ok({
      requestId: request.requestId,
      incarnation,
      status: result.status,
      contentType: result.headers['content-type'] ?? 'application/octet-stream',
      body: result.body,
    });
  };
}
