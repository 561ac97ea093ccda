import type { Result } from 'true-myth/result';
import type { Failure } from '@acaciahoist/errors';
import type { RunnerReply } from './runner-reply.js';
import type { RunnerRequest } from './runner-request.js';

/**
 * Sends one request to a runner. Fails with `endpoint-failed` and `details.sent = false` when no byte
 * was sent, and with `outcome-unknown` once a byte may have been sent.
 */
export type RunnerClient = (
  runner: string,
  request: RunnerRequest,
) => Promise<Result<RunnerReply, Failure>>;
