import { err, ok } from 'true-myth/result';
import type { Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import { computeDigest } from './compute-digest.js';
import { InFlightCounter } from './in-flight-counter.js';
import type { KeyedReply } from './keyed-reply.js';
import type { KeyedRequest } from './keyed-request.js';
import type { KeyedRequestsOptions } from './keyed-requests-options.js';
import { KeyedExecution } from './keyed-execution.js';
import type { KeyRecord } from './key-record.js';
import { RunnerCaller } from './runner-caller.js';
import { awaitWithTimeout } from './await-with-timeout.js';
import { UnsettledKeys } from './unsettled-keys.js';

type Answer = Result<KeyedReply, Failure>;

/** Runs requests with an idempotency key at most once. Used by the owner of the key's partition. */
export class KeyedRequests {
  static create(options: KeyedRequestsOptions): KeyedRequests {
    return new KeyedRequests(options);
  }

  private readonly runnerCaller: RunnerCaller;
  private readonly unsettledKeys: UnsettledKeys;
  private readonly inFlight = InFlightCounter.create();
  private readonly runningRequests = new Map<
    string,
    { requestDigest: string; answer: Promise<Answer> }
  >();

  private constructor(private readonly options: KeyedRequestsOptions) {
    this.runnerCaller = RunnerCaller.create(options);
    this.unsettledKeys = UnsettledKeys.create(options);
  }

  /**
   * Returns the recorded reply of the key. First runs the request when the key is new or its recorded
   * outcome is `refused`. Fails with a kind that means "not run" when the request certainly did not run,
   * with `key-conflict` when the key was used with another request, and with `outcome-unknown` otherwise.
   */
  async run(request: KeyedRequest): Promise<Answer> {
    const requestDigest = computeDigest(request.service, request.body);
    const runningRequest = this.runningRequests.get(request.key);
    if (runningRequest !== undefined) return this.join(request, requestDigest, runningRequest);
    const unsettledKey = this.unsettledKeys.find(request.key);
    if (unsettledKey !== undefined) {
      return unsettledKey.requestDigest === requestDigest
        ? createOutcomeUnknown('The outcome of the key is not recorded yet.')
        : createKeyConflict();
    }
    const recordedKey = this.options.findKey(request.key);
    if (recordedKey !== undefined) {
      if (recordedKey.requestDigest !== requestDigest) return createKeyConflict();
      // `refused` means that the request was certainly not sent, so its key may be claimed again.
      if (recordedKey.done?.outcome !== 'refused') return answerFromRecord(recordedKey);
    }
    if (this.inFlight.isDraining()) {
      return err(
        Failure.create(
          'not-ready',
          'The process is stopping; send the request to another process.',
        ),
      );
    }
    return this.waitForAnswer(request, this.start(request, requestDigest));
  }

  /** Refuses new keys from now on and resolves when no request is running. */
  drain(): Promise<void> {
    return this.inFlight.drain();
  }

  /**
   * Stops the retries of outcomes that are not recorded yet. Called when this process no longer owns the
   * partition.
   */
  close(): void {
    this.unsettledKeys.close();
  }

  /** Returns the counters and the numbers of running and unsettled keys for the state dump. */
  describe(): RunnerCaller['counts'] & { running: number; unsettled: number } {
    const { runningRequests, unsettledKeys } = this;
    return {
      ...this.runnerCaller.counts,
      running: runningRequests.size,
      unsettled: unsettledKeys.size(),
    };
  }

  private start(request: KeyedRequest, requestDigest: string): Promise<Answer> {
    const { options, runnerCaller, unsettledKeys } = this;
    const execution = KeyedExecution.create(
      options,
      runnerCaller,
      unsettledKeys,
      request,
      requestDigest,
    );
    const answer = this.inFlight.run(async () => {
      try {
        return await execution.run();
      } finally {
        this.runningRequests.delete(request.key);
      }
    });
    this.runningRequests.set(request.key, { requestDigest, answer });
    return answer;
  }

  /** Waits for the answer to an earlier call with the same key that is still running. */
  private async join(
    request: KeyedRequest,
    requestDigest: string,
    runningRequest: { requestDigest: string; answer: Promise<Answer> },
  ): Promise<Answer> {
    if (runningRequest.requestDigest !== requestDigest) return createKeyConflict();
    const answer = await this.waitForAnswer(request, runningRequest.answer);
    return answer.map((reply) => ({ ...reply, isRepeated: true }));
  }

  /** Waits for the answer until the caller's deadline. The request continues after that. */
  private async waitForAnswer(request: KeyedRequest, answer: Promise<Answer>): Promise<Answer> {
    const { deadlineMs, signal } = request;
    const settled = await awaitWithTimeout(this.options.clock, deadlineMs, signal, answer);
    if (settled.type === 'value') return settled.value;
    return createOutcomeUnknown(
      `The request is still running or its state is unknown: ${settled.type}.`,
    );
  }
}

function answerFromRecord({ done }: KeyRecord): Answer {
  if (done === undefined)
    return createOutcomeUnknown('A predecessor of this owner may have sent the request.');
  const { outcome, reply } = done;
  if (reply === null)
    return createOutcomeUnknown(`The recorded outcome of the key is ${outcome}, without a reply.`);
  return ok({ outcome, reply, isRepeated: true });
}

function createKeyConflict(): Answer {
  const message = 'The key was used with another request; use a new key for a new request.';
  return err(Failure.create('key-conflict', message));
}

function createOutcomeUnknown(message: string): Answer {
  return err(Failure.create('outcome-unknown', message));
}
