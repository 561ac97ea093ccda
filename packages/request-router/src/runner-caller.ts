import type { Result } from 'true-myth/result';
import { Instant } from '@acaciahoist/clock/instant';
import { Failure } from '@acaciahoist/errors';
import type { SlotGrant } from '@acaciahoist/slot-pool/slot-grant';
import { ReleaseResult } from '@acaciahoist/slot-pool/release-result';
import type { RunnerReply } from '@acaciahoist/types/runner-reply';
import type { CallCounts } from './call-counts.js';
import type { RunnerCallResult } from './runner-call-result.js';
import type { RunnerCall } from './runner-call.js';
import { ReplyMatcher } from './reply-matcher.js';
import type { RunnerCallerOptions } from './runner-caller-options.js';
import { awaitWithTimeout } from './await-with-timeout.js';

/** A granted slot and the time limit for its use. */
interface GrantedSlot {
  grant: SlotGrant;
  /** When the slot was requested; the deadline of the grant counts from here. */
  requested: Instant;
  /** Time from the slot request to the grant. */
  waitMs: number;
}

/** Makes one attempt per call: acquires a slot, sends the request, checks the reply, releases the slot. */
export class RunnerCaller {
  static create(options: RunnerCallerOptions): RunnerCaller {
    return new RunnerCaller(options);
  }

  readonly counts: CallCounts = {
    lateReplies: 0,
    foreignReplies: 0,
    brokenReplies: 0,
    lateGrants: 0,
  };
  private readonly matcher = ReplyMatcher.create();

  private constructor(private readonly options: RunnerCallerOptions) {}

  /** Makes one attempt and records its result in the health of the runner. */
  async call(call: RunnerCall): Promise<RunnerCallResult> {
    const { health } = this.options;
    const { ejected, probes } = health.chooseEjected(call.service);
    const slot = await this.acquireSlot(call, ejected);
    const runner = 'grant' in slot ? slot.grant.runner : undefined;
    for (const probe of probes) if (probe !== runner) health.releaseProbe(probe);
    if (!('grant' in slot)) return slot;
    const result = await this.sendInSlot(call, slot);
    const isSuccess = findRunnerSuccess(result);
    if (isSuccess === undefined) health.releaseProbe(slot.grant.runner);
    else health.recordResult(slot.grant.runner, isSuccess);
    return result;
  }

  private async acquireSlot(
    call: RunnerCall,
    ejected: readonly string[],
  ): Promise<GrantedSlot | RunnerCallResult> {
    const { clock, acquire, release, holder, createId } = this.options;
    const requested = Instant.create(clock);
    const requestedAtMs = clock.monotonicMs();
    const deadlineMs = call.deadlineAtMs - requestedAtMs;
    const grantId = createId();
    const { service, lane } = call;
    const exclude = [...new Set([...call.exclude, ...ejected])];
    const grantPromise = callAsync(() =>
      acquire({ grantId, service, lane, deadlineMs, holder, exclude }),
    );
    const settled = await awaitWithTimeout(clock, deadlineMs, call.signal, grantPromise);
    const waitMs = clock.monotonicMs() - requestedAtMs;
    if (settled.type === 'value') {
      if (settled.value.isErr) return { type: 'refused', failure: settled.value.error, waitMs };
      const grant = settled.value.value;
      return { grant, requested, waitMs };
    }
    release(grantId, ReleaseResult.notSent);
    if (settled.type !== 'rejected') this.releaseLateGrant(grantId, grantPromise);
    return { type: 'refused', failure: preSendFailures[settled.type](), waitMs };
  }

  /**
   * Releases a grant that arrives after the wait for it has ended. The release at the end of the wait has no
   * effect if it reaches the pool before the slot request.
   */
  private releaseLateGrant(
    grantId: string,
    grantPromise: Promise<Result<SlotGrant, Failure>>,
  ): void {
    grantPromise.then(
      (result) => {
        if (result.isErr) return;
        this.counts.lateGrants += 1;
        this.options.release(grantId, ReleaseResult.notSent);
      },
      () => undefined,
    );
  }

  private async sendInSlot(call: RunnerCall, slot: GrantedSlot): Promise<RunnerCallResult> {
    const { clock, send, release } = this.options;
    const { grant, waitMs } = slot;
    const { requestId, service, contentType, body, signal } = call;
    // There must be no `await` between these checks and the send: the grant or the lease could end meanwhile.
    const deadlineMs = Math.min(
      call.deadlineAtMs - clock.monotonicMs(),
      grant.deadlineMs - slot.requested.ageMs(),
    );
    const preSendFailure = deadlineMs <= 0 ? preSendFailures.timeout() : call.beforeSend();
    if (preSendFailure !== undefined) {
      release(grant.grantId, ReleaseResult.notSent);
      return { type: 'refused', failure: preSendFailure, waitMs };
    }
    const replyPromise = callAsync(() =>
      send(grant.runner, { requestId, service, contentType, body, deadlineMs }),
    );
    const settled = await awaitWithTimeout(clock, deadlineMs, signal, replyPromise);
    if (settled.type === 'value') return this.processReply(requestId, grant, settled.value, waitMs);
    release(grant.grantId, ReleaseResult.unknown);
    if (settled.type !== 'rejected') this.dropLateReply(requestId, grant, replyPromise);
    // Under overload many requests get their slots late. Ejecting runners because of their timeouts would
    // increase the overload, so a timeout counts only if the send had as much time as the wait took.
    const isRunnerFault = settled.type === 'timeout' && deadlineMs >= waitMs;
    const failure = createOutcomeUnknownFailure(grant.runner, settled.type);
    return { type: 'unknown', runner: grant.runner, failure, waitMs, isRunnerFault };
  }

  private processReply(
    requestId: string,
    { grantId, runner }: SlotGrant,
    result: Result<RunnerReply, Failure>,
    waitMs: number,
  ): RunnerCallResult {
    const { release } = this.options;
    if (result.isErr) {
      const wasSent = result.error.details?.sent !== false;
      release(grantId, wasSent ? ReleaseResult.unknown : ReleaseResult.notSent);
      if (!wasSent) return { type: 'not-sent', runner, waitMs };
      return { type: 'unknown', runner, failure: result.error, waitMs, isRunnerFault: true };
    }
    const fault = this.matcher.findFault(runner, requestId, result.value);
    if (fault === undefined) {
      release(grantId, ReleaseResult.ended);
      return { type: 'replied', runner, reply: result.value, waitMs };
    }
    if (fault === 'foreign') this.counts.foreignReplies += 1;
    else this.counts.brokenReplies += 1;
    // A broken reply shows that the runner has ended the work; a foreign one does not.
    release(grantId, fault === 'broken' ? ReleaseResult.ended : ReleaseResult.unknown);
    return {
      type: 'unknown',
      runner,
      failure: createOutcomeUnknownFailure(runner, fault),
      waitMs,
      isRunnerFault: true,
    };
  }

  /** Drops and counts a late reply. A valid one frees the slot before the deadline of the grant. */
  private dropLateReply(
    requestId: string,
    grant: SlotGrant,
    replyPromise: Promise<Result<RunnerReply, Failure>>,
  ): void {
    replyPromise.then(
      (result) => {
        if (result.isOk) this.counts.lateReplies += 1;
        this.processReply(requestId, grant, result, 0);
      },
      () => undefined,
    );
  }
}

/** Creates the failure of an attempt that ended before the send, by cause. */
const preSendFailures = {
  timeout: () =>
    Failure.create('deadline-exceeded', 'The deadline passed before the request was sent.'),
  aborted: () =>
    Failure.create('cancelled', 'The caller cancelled the request before it was sent.', {
      sent: false,
    }),
  rejected: () =>
    Failure.create('owner-unreachable', 'The slot request failed with an unexpected error.'),
} as const;

/** Makes the call synchronously and turns a thrown error into a rejected promise. */
function callAsync<T>(call: () => Promise<T>): Promise<T> {
  return new Promise((resolve) => {
    resolve(call());
  });
}

function createOutcomeUnknownFailure(runner: string, reason: string): Failure {
  const message = `Runner ${runner} returned no valid reply: ${reason}.`;
  return Failure.create('outcome-unknown', message);
}

/** True for a success, false for a failure of the runner, undefined when the result shows neither. */
function findRunnerSuccess(result: RunnerCallResult): boolean | undefined {
  if (result.type === 'replied') return result.reply.status < 500;
  if (result.type === 'not-sent') return false;
  return result.type === 'unknown' && result.isRunnerFault ? false : undefined;
}
