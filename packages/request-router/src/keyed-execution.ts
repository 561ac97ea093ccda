import { err, ok } from 'true-myth/result';
import type { Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import { answers } from '@acaciahoist/errors/answers';
import type { Outcome } from '@acaciahoist/types/outcome';
import type { RecordedReply } from '@acaciahoist/types/recorded-reply';
import type { RunnerCallResult } from './runner-call-result.js';
import { computeDigest } from './compute-digest.js';
import type { KeyOutcome } from './key-outcome.js';
import { keyedLifecycle } from './keyed-lifecycle.js';
import type { KeyedReply } from './keyed-reply.js';
import type { KeyedRequest } from './keyed-request.js';
import type { KeyedRequestsOptions } from './keyed-requests-options.js';
import { Lifecycle } from './lifecycle.js';
import type { RunnerCaller } from './runner-caller.js';
import type { UnsettledKeys } from './unsettled-keys.js';

/** Largest reply body that is recorded; it keeps journal records small. */
const MAX_RECORDED_BYTES = 65_536;
/** Largest number of attempts, each at another runner; only attempts without a sent byte are repeated. */
const MAX_ATTEMPTS = 3;
/** Share of the deadline kept for recording the outcome, so that the caller still receives the answer. */
const RECORDING_TIME_SHARE = 0.1;
/** Upper limit of the time kept for recording. */
const MAX_RECORDING_MS = 250;

/** Result of the request before it is recorded. */
interface UnrecordedResult {
  outcome: Outcome;
  reply: RecordedReply | null;
  /** Answer to the caller once the outcome is recorded. */
  answer: Result<KeyedReply, Failure>;
}

/** Executes one request with an idempotency key: claims the key, sends the request, records the outcome. */
export class KeyedExecution {
  static create(
    options: KeyedRequestsOptions,
    runnerCaller: RunnerCaller,
    unsettledKeys: UnsettledKeys,
    request: KeyedRequest,
    requestDigest: string,
  ): KeyedExecution {
    return new KeyedExecution(options, runnerCaller, unsettledKeys, request, requestDigest);
  }

  private readonly lifecycle = Lifecycle.create(keyedLifecycle);
  private readonly deadlineAtMs: number;

  private constructor(
    private readonly options: KeyedRequestsOptions,
    private readonly runnerCaller: RunnerCaller,
    private readonly unsettledKeys: UnsettledKeys,
    private readonly request: KeyedRequest,
    private readonly requestDigest: string,
  ) {
    this.deadlineAtMs = options.clock.monotonicMs() + request.deadlineMs;
  }

  /** Runs all steps. A failure of a kind that means "not run" is returned only if no byte was sent. */
  async run(): Promise<Result<KeyedReply, Failure>> {
    const { requestDigest, options } = this;
    const { key, service, user, team } = this.request;
    const claim = { key, requestDigest, service, user, team };
    const claimResult = await callJournal(() => options.claimKey(claim));
    if (claimResult.isOk) {
      this.lifecycle.transition('CLAIMED');
      return this.record(await this.sendRequest());
    }
    if (answers[claimResult.error.kind].execution === 'not-run') {
      this.lifecycle.transition('CLAIM_REFUSED');
      return err(claimResult.error);
    }
    this.lifecycle.transition('CLAIM_UNKNOWN');
    // Nothing was sent, so the key can be used again once this outcome follows the claim in the journal.
    this.unsettledKeys.add(requestDigest, { key, outcome: 'refused', reply: null });
    return createOutcomeUnknown(
      'The claim of the key may have been recorded; the request was not sent.',
    );
  }

  /** Sends the request. Tries another runner only if no byte was sent to the one before. */
  private async sendRequest(): Promise<UnrecordedResult> {
    const triedRunners: string[] = [];
    for (;;) {
      const result = await this.callRunner(triedRunners);
      if (result.type === 'not-sent') {
        this.lifecycle.transition('NOT_SENT');
        triedRunners.push(result.runner);
        if (triedRunners.length < MAX_ATTEMPTS) continue;
      }
      this.lifecycle.transition('END');
      return this.createResult(result);
    }
  }

  private callRunner(triedRunners: readonly string[]): Promise<RunnerCallResult> {
    const { requestId, service, lane, contentType, body } = this.request;
    const recordingMs = Math.min(MAX_RECORDING_MS, this.request.deadlineMs * RECORDING_TIME_SHARE);
    return this.runnerCaller.call({
      requestId,
      service,
      lane,
      contentType,
      body,
      deadlineAtMs: this.deadlineAtMs - recordingMs,
      exclude: triedRunners,
      // The work continues when the caller disconnects: the outcome is recorded for its next call.
      signal: undefined,
      beforeSend: () => {
        if (!this.options.isLeased()) return createNotOwnerFailure();
        this.lifecycle.transition('SEND');
        return undefined;
      },
    });
  }

  private createResult(result: RunnerCallResult): UnrecordedResult {
    if (result.type === 'unknown') {
      return {
        outcome: 'unknown',
        reply: null,
        answer: createOutcomeUnknown(result.failure.message),
      };
    }
    if (result.type === 'replied') return this.createReplyResult(result.reply);
    const failure =
      result.type === 'refused'
        ? result.failure
        : Failure.create(
            'overloaded',
            `No runner of service ${this.request.service} could be reached.`,
          );
    return { outcome: 'refused', reply: null, answer: err(failure) };
  }

  private createReplyResult(runnerReply: {
    status: number;
    contentType: string;
    body: Uint8Array;
  }): UnrecordedResult {
    const { status, contentType, body } = runnerReply;
    const isLate = this.options.clock.monotonicMs() > this.deadlineAtMs;
    const completedOutcome = isLate ? 'late' : 'completed';
    const outcome = status >= 500 ? 'failed' : completedOutcome;
    const reply = { status, contentType, body, bodyDigest: computeDigest(body) };
    const recordedReply = body.length > MAX_RECORDED_BYTES ? { ...reply, body: null } : reply;
    return { outcome, reply: recordedReply, answer: ok({ outcome, reply, isRepeated: false }) };
  }

  /** Records the outcome and returns the answer, or `outcome-unknown` when the outcome is not recorded. */
  private async record(result: UnrecordedResult): Promise<Result<KeyedReply, Failure>> {
    const { outcome, reply, answer } = result;
    const entry: KeyOutcome = { key: this.request.key, outcome, reply };
    const recordResult = await callJournal(() => this.options.recordOutcome(entry));
    if (recordResult.isOk) {
      this.lifecycle.transition('RECORDED');
      return answer;
    }
    this.lifecycle.transition('RECORD_FAILED');
    this.unsettledKeys.add(this.requestDigest, entry);
    return createOutcomeUnknown('The outcome could not be recorded.');
  }
}

/** Calls `append`. Turns a thrown error into `append-unknown`, since it does not show whether the append took effect. */
function callJournal(append: () => Promise<Result<void, Failure>>): Promise<Result<void, Failure>> {
  return new Promise<Result<void, Failure>>((resolve) => {
    resolve(append());
  }).catch((error: unknown) => err(Failure.create('append-unknown', String(error))));
}

function createNotOwnerFailure(): Failure {
  return Failure.create('not-owner', 'The lease ended before the request was sent.');
}

function createOutcomeUnknown(message: string): Result<KeyedReply, Failure> {
  return err(Failure.create('outcome-unknown', message));
}
