import { err, ok } from 'true-myth/result';
import type { Result } from 'true-myth/result';
import type { Failure } from '@acaciahoist/errors';
import { AdmissionController } from './admission-controller.js';
import { Authority } from './authority.js';
import { DRIFT_FACTOR } from './drift-factor.js';
import type { QuarantineTimes } from './quarantine-times.js';
import { GRANT_MARGIN_MS } from './grant-margin.js';
import { GrantTable } from './grant-table.js';
import type { SlotGrant } from './slot-grant.js';
import { Lane } from './lane.js';
import { createCounts } from './create-counts.js';
import type { PoolDescription } from './pool-description.js';
import type { PoolRunner } from './pool-runner.js';
import { Quarantine } from './quarantine.js';
import { ReleaseResult } from './release-result.js';
import { refusals } from './refusals.js';
import type { OutstandingGrant } from './outstanding-grant.js';
import type { RunnerSlots } from './runner-slots.js';
import { RunnerTable } from './runner-table.js';
import type { SlotLimits } from './slot-limits.js';
import type { SlotPoolOptions } from './slot-pool-options.js';
import type { SlotRequest } from './slot-request.js';
import { WaitEstimator } from './wait-estimator.js';
import { WaitQueues } from './wait-queues.js';
import type { Waiter } from './waiter.js';

/** Share of a runner's slots that heavy work may not use. */
const PROMPT_RESERVED_SHARE = 1 / 8;
const DEFAULT_MAX_WAITING = { prompt: 1_000, heavy: 1_000 };

type GrantResult = Result<SlotGrant, Failure>;

/** Grants the slots of the runners of one partition to requests. Grants none before `setAuthority` is called. */
export class SlotPool {
  static create(options: SlotPoolOptions): SlotPool {
    return new SlotPool(options);
  }

  private readonly heldSlots: number;
  private readonly marginMs: number;
  private readonly runners: RunnerTable;
  private readonly grants: GrantTable;
  private readonly queues = WaitQueues.create();
  private readonly estimator = WaitEstimator.create();
  private readonly admission: AdmissionController;
  private readonly quarantine = Quarantine.create();
  private authority: Authority = Authority.none;
  /** Counts grants and waiting requests. Orders the waiting requests and rotates among equally free runners. */
  private sequence = 0;
  private readonly cancelTimers: (() => void)[] = [];
  private readonly counts = createCounts();

  private constructor(private readonly options: SlotPoolOptions) {
    const { slotsPerRunner, heldSlotsPercent, clock } = options;
    const isPrompt = options.isPrompt ?? (() => true);
    const reserved = slotsPerRunner > 1 ? Math.ceil(slotsPerRunner * PROMPT_RESERVED_SHARE) : 0;
    this.heldSlots = Math.floor((slotsPerRunner * heldSlotsPercent) / 100);
    this.marginMs = options.marginMs ?? GRANT_MARGIN_MS;
    this.runners = RunnerTable.create((services) => (services.some(isPrompt) ? reserved : 0));
    const maxWaiting = options.maxWaiting ?? DEFAULT_MAX_WAITING;
    this.admission = AdmissionController.create(
      this.runners,
      this.queues,
      this.estimator,
      maxWaiting,
      this.counts,
    );
    this.grants = GrantTable.create(clock, this.marginMs, (expired) => {
      this.counts.expiredGrants += 1;
      this.grantFreedSlot(expired.runner);
    });
  }

  /** Replaces the list of runners. A runner that is leaving or missing gets no new grant afterwards. */
  setRunners(runners: readonly PoolRunner[]): void {
    this.runners.replaceAll(runners);
    this.grantAllFreeSlots();
  }

  /**
   * Sets which slots may be granted. With `none`, refuses all waiting requests as `not-owner`; `outstanding`
   * still returns the grants.
   */
  setAuthority(authority: Authority): void {
    this.authority = authority;
    if (authority === Authority.none) this.refuseWaiting();
    this.grantAllFreeSlots();
  }

  /** Quarantines the slots that unreported grants of predecessors may use. Call it before `setAuthority`. */
  startAfterFailover(times: QuarantineTimes): void {
    this.quarantine.extend(times);
    this.scheduleQuarantineEnds();
  }

  /**
   * Shortens the quarantine when the processes of all predecessors have certainly exited by `atMs`: their
   * last grants end within `maxDeadlineMs` after that.
   */
  markPredecessorsExited(atMs: number): void {
    const { maxDeadlineMs } = this.options;
    this.quarantine.shortenHoldQuarantine(atMs + maxDeadlineMs * DRIFT_FACTOR + this.marginMs);
    this.scheduleQuarantineEnds();
  }

  /** Ends the quarantine: the predecessor has reported all its outstanding grants and grants no more. */
  markPredecessorStopped(outstanding: readonly OutstandingGrant[]): void {
    this.adopt(outstanding);
    this.quarantine.end();
    this.grantAllFreeSlots();
  }

  /** Ends the quarantine of one runner after all grants of predecessors for it were adopted. */
  markRunnerGrantsKnown(runner: string): void {
    const slots = this.runners.find(runner);
    if (slots === undefined) return;
    slots.areGrantsKnown = true;
    this.grantFreeSlots(slots);
  }

  /** Adds grants of predecessors that peers reported. Ignores grants that are outstanding already. */
  adopt(reported: readonly OutstandingGrant[]): void {
    for (const { grantId, runner, remainingMs, ...attributes } of reported) {
      if (this.grants.find(grantId) !== undefined) continue;
      const grant = { grantId, runner, token: this.options.token, deadlineMs: remainingMs };
      const deadlineAtMs = this.options.clock.monotonicMs() + remainingMs;
      const slots = this.runners.findOrAdd(runner);
      this.grants.add({
        ...attributes,
        grant,
        runner: slots,
        isAdopted: true,
        deadlineAtMs,
        remainingMs,
      });
      this.counts.adopted += 1;
    }
  }

  /**
   * Resolves with the grant of a slot. Fails with `not-owner`, with `overloaded` (queue full, no runner,
   * or the deadline cannot be met) or with `deadline-exceeded`; the work was not sent in any of these
   * cases.
   */
  acquire(received: SlotRequest): Promise<GrantResult> {
    const existing = this.grants.find(received.grantId);
    if (existing !== undefined) return Promise.resolve(ok(existing.grant));
    const waiter = this.queues.find(received.grantId);
    if (waiter !== undefined) return waiter.answer;
    if (this.readAuthority() === Authority.none) return refuse(refusals.notOwner());
    if (!(received.deadlineMs > 0)) return refuse(refusals.deadlineExceeded());
    const deadlineMs = Math.min(received.deadlineMs, this.options.maxDeadlineMs);
    const request = { ...received, deadlineMs };
    const limits = this.computeLimits();
    const runner = this.runners.findMostFree(request, limits, this.sequence);
    if (runner !== undefined) {
      const nowMs = this.options.clock.monotonicMs();
      return Promise.resolve(ok(this.grant(request, runner, nowMs)));
    }
    const refusal = this.admission.findRefusal(request, limits);
    return refusal === undefined ? this.enqueue(request) : refuse(refusal);
  }

  /**
   * Ends a grant or cancels a waiting request. A release of an id that is not outstanding is only
   * counted. With `unknown` the slot stays in use until the grant's deadline and margin have passed.
   */
  release(grantId: string, result: ReleaseResult): void {
    const waiter = this.queues.find(grantId);
    if (waiter !== undefined) {
      this.counts.cancelledWaiters += 1;
      this.settle(waiter, err(refusals.cancelled()));
      return;
    }
    const existing = this.grants.find(grantId);
    if (existing === undefined) {
      this.counts.unmatchedReleases += 1;
      return;
    }
    if (result === ReleaseResult.unknown) return;
    this.grants.remove(grantId);
    this.counts.released += 1;
    if (result === ReleaseResult.ended && !existing.isAdopted) {
      this.estimator.recordSlotTime(
        existing.service,
        this.options.clock.monotonicMs() - existing.addedAtMs,
      );
    }
    this.grantFreedSlot(existing.runner);
  }

  /**
   * Cancels the waiting requests of a process that has exited. Its grants stay until their deadline,
   * because a runner may continue a request whose sender has exited.
   */
  releaseHolder(holder: string): void {
    for (const waiter of this.queues.all()) {
      if (waiter.request.holder !== holder) continue;
      this.release(waiter.request.grantId, ReleaseResult.notSent);
    }
  }

  /** Returns the outstanding grants, to be reported to a successor. */
  outstanding(): OutstandingGrant[] {
    return this.grants.report();
  }

  /** Refuses all waiting requests and stops all timers. The pool grants nothing afterwards. */
  close(): void {
    this.setAuthority(Authority.none);
    this.grants.clear();
    for (const cancel of this.cancelTimers) cancel();
  }

  /** Returns the state of the pool for the state dump. */
  describe(): PoolDescription {
    const runners = this.runners.describe(this.computeLimits());
    const waiting = {
      prompt: this.queues.size(Lane.prompt),
      heavy: this.queues.size(Lane.heavy),
    };
    const authority = this.readAuthority();
    return { authority, token: this.options.token, runners, waiting, counts: { ...this.counts } };
  }

  /** The weaker of the authority that was set and the one that `readAuthority` returns. */
  private readAuthority(): Authority {
    const read = this.options.readAuthority?.() ?? this.authority;
    if (this.authority === Authority.none || read === Authority.none) return Authority.none;
    return this.authority === Authority.holding ? Authority.holding : read;
  }

  /** Limits that apply to each runner now, by the authority and the quarantine. */
  private computeLimits(): SlotLimits {
    const { slotsPerRunner, clock } = this.options;
    const authority = this.readAuthority();
    const usable = { leased: slotsPerRunner, holding: this.heldSlots, none: 0 }[authority];
    const nowMs = clock.monotonicMs();
    return {
      usable,
      quarantined: this.quarantine.countSlots(nowMs, slotsPerRunner, this.heldSlots),
    };
  }

  private enqueue(request: SlotRequest): Promise<GrantResult> {
    let resolve: (result: GrantResult) => void = () => undefined;
    const answer = new Promise<GrantResult>((settle) => {
      resolve = settle;
    });
    const waiter: Waiter = {
      request,
      sequence: this.sequence++,
      requestedAtMs: this.options.clock.monotonicMs(),
      answer,
      resolve,
      cancelTimer: this.options.clock.after(request.deadlineMs, () => {
        this.expire(waiter);
      }),
      previous: undefined,
      next: undefined,
    };
    this.queues.add(waiter);
    return answer;
  }

  private grant(request: SlotRequest, runner: RunnerSlots, requestedAtMs: number): SlotGrant {
    const { grantId, service, lane, holder, deadlineMs } = request;
    const grant = { grantId, runner: runner.address, token: this.options.token, deadlineMs };
    const deadlineAtMs = requestedAtMs + deadlineMs;
    const remainingMs = deadlineAtMs - this.options.clock.monotonicMs();
    const attributes = { grant, runner, service, lane, holder, isAdopted: false };
    this.grants.add({ ...attributes, deadlineAtMs, remainingMs });
    this.sequence += 1;
    this.counts.granted += 1;
    return grant;
  }

  /** Grants the free slots of the runner to waiting requests. */
  private grantFreeSlots(runner: RunnerSlots): void {
    for (;;) {
      const limits = this.computeLimits();
      const waiter = this.queues.findNext(runner, (lane) => runner.countFree(lane, limits) > 0);
      if (waiter === undefined) return;
      const { requestedAtMs, request } = waiter;
      const isExpired = this.options.clock.monotonicMs() >= requestedAtMs + request.deadlineMs;
      if (isExpired) this.expire(waiter);
      else this.settle(waiter, ok(this.grant(request, runner, requestedAtMs)));
    }
  }

  private grantAllFreeSlots(): void {
    for (const runner of this.runners.all()) this.grantFreeSlots(runner);
  }

  /** Sets timers that grant the slots whose quarantine ends, and grants those that are free already. */
  private scheduleQuarantineEnds(): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const atMs of this.quarantine.endTimes()) {
      if (atMs <= nowMs) continue;
      const cancel = this.options.clock.after(atMs - nowMs, () => {
        this.grantAllFreeSlots();
      });
      this.cancelTimers.push(cancel);
    }
    this.grantAllFreeSlots();
  }

  /** Grants a slot that has become free to a waiting request. Removes the runner when it is no longer listed. */
  private grantFreedSlot(runner: RunnerSlots): void {
    this.runners.removeIfUnused(runner);
    this.grantFreeSlots(runner);
  }

  private expire(waiter: Waiter): void {
    this.counts.expiredWaiters += 1;
    this.settle(waiter, err(refusals.deadlineExceeded()));
  }

  private refuseWaiting(): void {
    for (const waiter of this.queues.all()) this.settle(waiter, err(refusals.notOwner()));
  }

  private settle(waiter: Waiter, result: GrantResult): void {
    waiter.cancelTimer();
    this.queues.remove(waiter);
    waiter.resolve(result);
  }
}

function refuse(failure: Failure): Promise<GrantResult> {
  return Promise.resolve(err(failure));
}
