import { err, ok } from 'true-myth/result';
import type { Result } from 'true-myth/result';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { Failure } from '@acaciahoist/errors';
import { SlotPool } from '@acaciahoist/slot-pool';
import type { RunnerReply } from '@acaciahoist/types/runner-reply';
import type { RunnerRequest } from '@acaciahoist/types/runner-request';
import { RequestRouter } from './request-router.js';
import { RetryBudget } from './retry-budget.js';
import type { RunnerBehaviour } from './runner-behaviour.js';
import { RunnerHealth } from './runner-health.js';

const RUNNERS = ['a', 'b', 'c', 'd'];

const flush = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Routers of two processes with one slot pool and simulated runners, whose behaviour the test chooses. */
export class RouterFixture {
  static readonly runners: readonly string[] = RUNNERS;

  /** Runs the callbacks of all settled promises. */
  static flush(): Promise<void> {
    return flush();
  }

  readonly clock = ManualClock.create();
  readonly pool = SlotPool.create({
    clock: this.clock,
    token: 1,
    slotsPerRunner: 8,
    heldSlotsPercent: 50,
    maxDeadlineMs: 400,
    marginMs: 20,
  });
  /** Number of times that runners started a request, by request id. */
  readonly startCounts = new Map<string, number>();
  /** Number of requests that a runner works on, by runner. */
  readonly busySlots: Record<string, number> = {};
  /** Runners in the order in which they were called. */
  readonly calledRunners: string[] = [];
  maxBusySlots = 0;
  routers: RequestRouter[] = [];

  constructor(
    private readonly chooseBehaviour: (runner: string, request: RunnerRequest) => RunnerBehaviour,
  ) {
    this.pool.setRunners(RUNNERS.map((address) => ({ address, services: ['s'], state: 'live' })));
    this.pool.setAuthority('leased');
    this.routers = ['p', 'q'].map((holder) => this.createRouter(holder));
  }

  route(index: number, deadlineMs = 300): Promise<Result<RunnerReply, Failure>> {
    const router = this.routers[index % 2];
    if (router === undefined) throw new Error(`no router for request ${index}`);
    return router.route({
      requestId: `r${index}`,
      service: 's',
      user: 'u',
      team: 't',
      lane: index % 3 === 0 ? 'prompt' : 'heavy',
      contentType: 'text/plain',
      body: new TextEncoder().encode(`body ${index}`),
      deadlineMs,
    });
  }

  /** Advances the clock in steps of 5 ms and runs the callbacks of settled promises after each. */
  async advance(byMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < byMs; passedMs += 5) {
      this.clock.advance(5);
      await flush();
    }
  }

  private createRouter(holder: string): RequestRouter {
    let nextGrantNumber = 0;
    const { clock, pool } = this;
    const health = RunnerHealth.create({ clock, random: () => 0.5, listRunners: () => RUNNERS });
    return RequestRouter.create({
      clock,
      health,
      budget: RetryBudget.create(clock),
      holder,
      createId: () => `${holder}${nextGrantNumber++}`,
      acquire: (request) => pool.acquire(request),
      release: (grantId, result) => {
        pool.release(grantId, result);
      },
      send: (runner, request) => this.send(runner, request),
    });
  }

  private send(runner: string, request: RunnerRequest): Promise<Result<RunnerReply, Failure>> {
    const behaviour = this.chooseBehaviour(runner, request);
    if (behaviour === 'throw') throw new Error('fault in the client');
    this.calledRunners.push(runner);
    const connectionRefused = Failure.create('endpoint-failed', 'connection refused', {
      sent: false,
    });
    if (behaviour === 'unreachable') return Promise.resolve(err(connectionRefused));
    const id = request.requestId.split('.')[0] ?? '';
    this.startCounts.set(id, (this.startCounts.get(id) ?? 0) + 1);
    this.busySlots[runner] = (this.busySlots[runner] ?? 0) + 1;
    this.maxBusySlots = Math.max(this.maxBusySlots, this.busySlots[runner]);
    // The slot is free when the runner stops: at the latest at its deadline, by a clock that is 2% slow.
    const stopAfterMs = request.deadlineMs * 1.02 + 5;
    const workMs = ['hang', 'late'].includes(behaviour) ? stopAfterMs : Math.min(20, stopAfterMs);
    this.clock.after(workMs, () => {
      this.busySlots[runner] = (this.busySlots[runner] ?? 0) - 1;
    });
    return new Promise((resolve) => {
      const resolveAfter = (result: Result<RunnerReply, Failure>, delayMs: number): void => {
        this.clock.after(delayMs, () => {
          resolve(result);
        });
      };
      const reply = {
        requestId: behaviour === 'foreign' ? 'other' : request.requestId,
        incarnation: `${runner}-${behaviour === 'former' ? 'old' : 'new'}`,
        status: behaviour === 'busy' ? 503 : 200,
        contentType: 'text/plain',
        body: behaviour === 'broken' ? (null as unknown as Uint8Array) : request.body,
      };
      if (behaviour === 'hang') return;
      if (behaviour === 'cut') resolveAfter(err(Failure.create('outcome-unknown', 'cut off')), 10);
      else if (behaviour === 'late') resolveAfter(ok(reply), request.deadlineMs + 7);
      else resolveAfter(ok(reply), 21);
    });
  }
}
