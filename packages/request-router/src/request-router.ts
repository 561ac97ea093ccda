import { err, ok } from 'true-myth/result';
import type { Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import { answers } from '@acaciahoist/errors/answers';
import type { Outcome } from '@acaciahoist/types/outcome';
import type { RunnerReply } from '@acaciahoist/types/runner-reply';
import type { RunnerCallResult } from './runner-call-result.js';
import { InFlightCounter } from './in-flight-counter.js';
import { Lifecycle } from './lifecycle.js';
import { OutcomeCounts } from './outcome-counts.js';
import type { OutcomeRow } from './outcome-row.js';
import { requestLifecycle } from './request-lifecycle.js';
import type { RequestRouterOptions } from './request-router-options.js';
import type { RoutedRequest } from './routed-request.js';
import type { RouterCounts } from './router-counts.js';
import { RunnerCaller } from './runner-caller.js';

const DEFAULT_MAX_ATTEMPTS = 3;
/**
 * Bad gateway, service unavailable and gateway timeout: the runner, or a proxy in front of it, could not
 * serve the request, and another runner may be able to.
 */
const RETRYABLE_STATUSES: readonly number[] = [502, 503, 504];

/** State of a request that is kept across its attempts. */
interface Progress {
  startedAtMs: number;
  deadlineAtMs: number;
  /** Total time for which the attempts waited for slots. */
  waitMs: number;
  triedRunners: string[];
  /** True when an attempt may have been sent, so that a runner may have done the work. */
  isSent: boolean;
  /** The last complete reply, including one with a status that permits a retry. */
  reply: RunnerReply | undefined;
}

/** Routes requests that may run more than once, with retries within deadline and retry budget. */
export class RequestRouter {
  static create(options: RequestRouterOptions): RequestRouter {
    return new RequestRouter(options);
  }

  private readonly runnerCaller: RunnerCaller;
  private readonly inFlight = InFlightCounter.create();
  private readonly outcomes = OutcomeCounts.create();
  private firstTries = 0;
  private retries = 0;
  private retriesDenied = 0;

  private constructor(private readonly options: RequestRouterOptions) {
    this.runnerCaller = RunnerCaller.create(options);
  }

  /**
   * Returns the complete reply of a runner, whatever its status. When the request was not sent, fails
   * with the failure of `acquire` or with `overloaded`, `deadline-exceeded` or `not-ready`. When a runner
   * may have done the work, fails with `endpoint-failed`.
   */
  async route(request: RoutedRequest): Promise<Result<RunnerReply, Failure>> {
    if (this.inFlight.isDraining()) {
      return err(
        Failure.create(
          'not-ready',
          'The process is stopping; send the request to another process.',
        ),
      );
    }
    return this.inFlight.run(async () => {
      try {
        return await this.runAttempts(request);
      } catch (error) {
        return err(Failure.create('internal', String(error)));
      }
    });
  }

  /** Returns the outcome counts since the previous call, for the account, and resets them. */
  takeOutcomes(): OutcomeRow[] {
    return this.outcomes.take();
  }

  /** Refuses new requests from now on and resolves when no request is in flight. */
  drain(): Promise<void> {
    return this.inFlight.drain();
  }

  /** Returns the counters for the state dump. */
  describe(): RouterCounts {
    const { firstTries, retries, retriesDenied } = this;
    const inFlight = this.inFlight.size();
    return { ...this.runnerCaller.counts, inFlight, firstTries, retries, retriesDenied };
  }

  private async runAttempts(request: RoutedRequest): Promise<Result<RunnerReply, Failure>> {
    const { clock, budget, maxAttempts = DEFAULT_MAX_ATTEMPTS } = this.options;
    const lifecycle = Lifecycle.create(requestLifecycle);
    const startedAtMs = clock.monotonicMs();
    const deadlineAtMs = startedAtMs + request.deadlineMs;
    const progress: Progress = {
      startedAtMs,
      deadlineAtMs,
      waitMs: 0,
      triedRunners: [],
      isSent: false,
      reply: undefined,
    };
    budget.countFirstAttempt(request.service);
    this.firstTries += 1;
    for (;;) {
      const result = await this.runnerCaller.call(this.createCall(request, progress, lifecycle));
      progress.waitMs += result.waitMs;
      if (result.type === 'replied' || result.type === 'unknown') progress.isSent = true;
      if (result.type === 'replied') progress.reply = result.reply;
      if (result.type !== 'refused') progress.triedRunners.push(result.runner);
      const mayRetry =
        isRetryable(result) &&
        progress.triedRunners.length < maxAttempts &&
        clock.monotonicMs() < deadlineAtMs &&
        request.signal?.aborted !== true;
      if (!mayRetry || !this.takeRetry(request.service)) {
        lifecycle.transition('END');
        return this.finish(request, progress, result);
      }
      lifecycle.transition('RETRY');
    }
  }

  private createCall(
    request: RoutedRequest,
    progress: Progress,
    lifecycle: { transition: (event: 'SEND') => void },
  ): Parameters<RunnerCaller['call']>[0] {
    const { requestId, service, lane, contentType, body, signal } = request;
    const attempt = progress.triedRunners.length + 1;
    return {
      // Each attempt has its own id, so a late reply to one attempt cannot answer another.
      requestId: attempt === 1 ? requestId : `${requestId}.${attempt}`,
      service,
      lane,
      contentType,
      body,
      deadlineAtMs: progress.deadlineAtMs,
      exclude: progress.triedRunners,
      signal,
      beforeSend: () => {
        lifecycle.transition('SEND');
        return undefined;
      },
    };
  }

  /** Takes a retry from the budget and counts whether it was granted or denied. */
  private takeRetry(service: string): boolean {
    if (this.options.budget.takeRetry(service)) {
      this.retries += 1;
      return true;
    }
    this.retriesDenied += 1;
    return false;
  }

  /** Creates the answer and counts its outcome. */
  private finish(
    request: RoutedRequest,
    progress: Progress,
    result: RunnerCallResult,
  ): Result<RunnerReply, Failure> {
    const answer = createAnswer(request.service, progress, result);
    const isLate = this.options.clock.monotonicMs() > progress.deadlineAtMs;
    this.outcomes.add(request, classifyAnswer(answer, isLate), progress.waitMs);
    return answer;
  }
}

function isRetryable(result: RunnerCallResult): boolean {
  if (result.type === 'replied') return RETRYABLE_STATUSES.includes(result.reply.status);
  return result.type === 'not-sent' || result.type === 'unknown';
}

/** Returns the latest reply of any attempt; without one, a failure that shows whether the request may have run. */
function createAnswer(
  service: string,
  progress: Progress,
  result: RunnerCallResult,
): Result<RunnerReply, Failure> {
  if (progress.reply !== undefined) return ok(progress.reply);
  if (progress.isSent) {
    const reason =
      'failure' in result ? result.failure.message : 'The last runner was unreachable.';
    return err(Failure.create('endpoint-failed', `No runner returned a valid reply. ${reason}`));
  }
  if (result.type === 'refused') return err(result.failure);
  return err(Failure.create('overloaded', `No runner of service ${service} could be reached.`));
}

function classifyAnswer(answer: Result<RunnerReply, Failure>, isLate: boolean): Outcome {
  if (answer.isErr) {
    if (answer.error.kind === 'cancelled') return 'cancelled';
    return answers[answer.error.kind].execution === 'not-run' ? 'refused' : 'unknown';
  }
  if (answer.value.status >= 500) return 'failed';
  return isLate ? 'late' : 'completed';
}
