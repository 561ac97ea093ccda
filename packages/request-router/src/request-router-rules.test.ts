import { test } from 'node:test';
import { expect } from 'earl';
import { err, ok } from 'true-myth/result';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { PausableClock } from '@acaciahoist/clock/pausable-clock';
import { Failure } from '@acaciahoist/errors';
import { RequestRouter } from './request-router.js';
import { RetryBudget } from './retry-budget.js';
import { RouterFixture } from './router-fixture.js';
import type { RunnerBehaviour } from './runner-behaviour.js';
import { RunnerHealth } from './runner-health.js';

console.log('request-router-rules.test uses no random numbers');

test('the router limits retries to a tenth of first attempts plus 3 per second when every runner fails', async () => {
  // Guards against so many retries that the failing runners stay overloaded.
  const fixture = new RouterFixture(() => 'busy');
  for (let index = 0; index < 400; index += 1) {
    void fixture.route(index);
    await fixture.advance(5);
  }
  await fixture.advance(300);
  for (const router of fixture.routers) {
    const { firstTries, retries, retriesDenied } = router.describe();
    expect(firstTries).toEqual(200);
    // A tenth of 200 first attempts, 3 at the start and 3 for each of the 2.3 s.
    expect(retries).toBeLessThanOrEqual(20 + 3 + 3 * 2.3);
    expect(retries).toBeGreaterThanOrEqual(20);
    expect(retriesDenied).toBeGreaterThan(100);
  }
});

test('the router ejects a failing runner, probes it by one request at a time and uses it again', async () => {
  // Guards against a runner that fails fast and therefore receives most requests, and against a runner
  // that is never used again.
  let behaviour: RunnerBehaviour = 'unreachable';
  const fixture = new RouterFixture((runner) => (runner === 'a' ? behaviour : 'reply'));
  const countCallsOfA = async (requests: number): Promise<number> => {
    const callsBefore = fixture.calledRunners.length;
    for (let index = 0; index < requests; index += 1) {
      void fixture.route(index);
      await fixture.advance(10);
    }
    return fixture.calledRunners.slice(callsBefore).filter((runner) => runner === 'a').length;
  };
  await countCallsOfA(60);
  expect(await countCallsOfA(40)).toEqual(0);
  await fixture.advance(3_000);
  const callsBefore = fixture.calledRunners.length;
  behaviour = 'cut';
  for (let index = 0; index < 20; index += 1) {
    void fixture.route(index);
    await RouterFixture.flush();
  }
  const probes = fixture.calledRunners.slice(callsBefore).filter((runner) => runner === 'a');
  // One probe from each of the two processes.
  expect(probes.length).toEqual(2);
  await fixture.advance(50);
  expect(await countCallsOfA(40)).toEqual(0);
  behaviour = 'reply';
  // The second back-off is longer than the first.
  await fixture.advance(1_500);
  expect(await countCallsOfA(10)).toEqual(0);
  await fixture.advance(6_000);
  expect(await countCallsOfA(60)).toBeGreaterThan(8);
});

test('the router drops and counts a late reply and frees its slot', async () => {
  // Guards against a reply after the deadline that is returned or that leaves its slot in use.
  const fixture = new RouterFixture(() => 'late');
  const answer = fixture.route(0, 100);
  await fixture.advance(105);
  expect((await answer).isErr).toEqual(true);
  expect(fixture.pool.describe().runners.some((runner) => runner.outstanding > 0)).toEqual(true);
  await fixture.advance(5);
  expect(fixture.routers[0]?.describe().lateReplies).toEqual(1);
  expect(fixture.pool.describe().runners.some((runner) => runner.outstanding > 0)).toEqual(false);
});

test('the router does not send under a grant that has expired on arrival', async () => {
  // Guards against the use of a slot that its owner already counts as free, for example after a pause.
  const clock = ManualClock.create();
  const released: string[] = [];
  let acquireMs = 60;
  let sendCount = 0;
  const router = RequestRouter.create({
    clock,
    health: RunnerHealth.create({
      clock,
      random: () => 0.5,
      listRunners: () => RouterFixture.runners,
    }),
    budget: RetryBudget.create(clock),
    holder: 'p',
    createId: () => 'g',
    acquire: () => {
      clock.advance(acquireMs);
      return Promise.resolve(ok({ grantId: 'g', runner: 'a', token: 1, deadlineMs: 50 }));
    },
    release: (grantId, result) => released.push(`${grantId} ${result}`),
    send: () => {
      sendCount += 1;
      return Promise.resolve(err(Failure.create('outcome-unknown', 'not expected')));
    },
  });
  const request = { requestId: 'x', service: 's', user: 'u', team: 't', lane: 'heavy' as const };
  const content = { contentType: 'text/plain', body: new Uint8Array(), deadlineMs: 300 };
  const result = await router.route({ ...request, ...content });
  expect(result.isErr && result.error.kind).toEqual('deadline-exceeded');
  expect([sendCount, ...released]).toEqual([0, 'g not-sent']);
  // A grant that arrives after its slot request has ended is released a second time.
  acquireMs = 0;
  const caller = new AbortController();
  caller.abort();
  await router.route({ ...request, ...content, signal: caller.signal });
  await RouterFixture.flush();
  expect([sendCount, ...released]).toEqual([0, 'g not-sent', 'g not-sent', 'g not-sent']);
  expect(router.describe().lateGrants).toEqual(1);
});

test('the router does not send under a grant that expired while its machine was suspended', async () => {
  // Guards against the use of a slot that its owner already counts as free: monotonic time does not count a
  // suspension.
  const base = ManualClock.create();
  const clock = PausableClock.create(base);
  const released: string[] = [];
  let sendCount = 0;
  const router = RequestRouter.create({
    clock,
    health: RunnerHealth.create({
      clock,
      random: () => 0.5,
      listRunners: () => RouterFixture.runners,
    }),
    budget: RetryBudget.create(clock),
    holder: 'p',
    createId: () => 'g',
    acquire: () => {
      clock.suspend();
      base.advance(5_000);
      clock.resume();
      return Promise.resolve(ok({ grantId: 'g', runner: 'a', token: 1, deadlineMs: 300 }));
    },
    release: (grantId, result) => released.push(`${grantId} ${result}`),
    send: () => {
      sendCount += 1;
      return Promise.resolve(err(Failure.create('outcome-unknown', 'not expected')));
    },
  });
  const request = { requestId: 'x', service: 's', user: 'u', team: 't', lane: 'heavy' as const };
  const content = { contentType: 'text/plain', body: new Uint8Array(), deadlineMs: 300 };
  const result = await router.route({ ...request, ...content });
  expect(result.isErr && result.error.kind).toEqual('deadline-exceeded');
  expect([sendCount, ...released]).toEqual([0, 'g not-sent']);
});

test('the router does not eject a runner to which requests were sent with little time left', async () => {
  // Guards against ejecting runners for timeouts that an overload causes, which would increase the overload.
  const clock = ManualClock.create();
  let ids = 0;
  const health = RunnerHealth.create({
    clock,
    random: () => 0.5,
    listRunners: () => RouterFixture.runners,
  });
  const router = RequestRouter.create({
    clock,
    health,
    budget: RetryBudget.create(clock),
    holder: 'p',
    createId: () => `g${ids++}`,
    acquire: ({ grantId, deadlineMs }) =>
      new Promise((resolve) => {
        clock.after(80, () => {
          resolve(ok({ grantId, runner: 'a', token: 1, deadlineMs }));
        });
      }),
    release: () => undefined,
    send: () => new Promise(() => undefined),
  });
  const call = (deadlineMs: number) =>
    router.route({
      requestId: 'x',
      service: 's',
      user: 'u',
      team: 't',
      lane: 'heavy',
      contentType: 'text/plain',
      body: new Uint8Array(),
      deadlineMs,
    });
  const callTenTimes = async (deadlineMs: number): Promise<void> => {
    for (let index = 0; index < 10; index += 1) void call(deadlineMs);
    for (let passedMs = 0; passedMs < 400; passedMs += 20) {
      clock.advance(20);
      await RouterFixture.flush();
    }
  };
  await callTenTimes(100);
  expect(health.describe()).toEqual({});
  await callTenTimes(300);
  expect(health.describe()).toEqual({ a: 'ejected' });
});

test('the retry budgets of all processes stay within the budget of the service when each takes every retry', () => {
  // Guards against a total budget that grows with the number of processes, as when each takes the whole rate.
  const clock = ManualClock.create();
  const budgets = Array.from({ length: 6 }, () => RetryBudget.create(clock, () => 6));
  let takenRetries = 0;
  for (let second = 0; second < 20; second += 1) {
    clock.advance(1_000);
    for (const budget of budgets) while (budget.takeRetry('s')) takenRetries += 1;
  }
  expect(takenRetries).toBeLessThanOrEqual(3 * 20 + 3);
  expect(takenRetries).toBeGreaterThan(3 * 18);
});

test('the router applies ejections to at most half of the runners when all of them fail', async () => {
  // Guards against sending no requests to any runner because of a fault outside them, such as in the network
  // of the router.
  const fixture = new RouterFixture(() => 'unreachable');
  for (let index = 0; index < 100; index += 1) {
    void fixture.route(index);
    await fixture.advance(5);
  }
  const callsBefore = fixture.calledRunners.length;
  for (let index = 0; index < 50; index += 1) {
    void fixture.route(index);
    await fixture.advance(5);
  }
  expect(new Set(fixture.calledRunners.slice(callsBefore)).size).toBeGreaterThanOrEqual(2);
});

test('the router drops and counts a reply of a former incarnation of the runner', async () => {
  // Guards against a reply of a process that has exited, which arrives after its runner has restarted and
  // replied to other requests.
  let requestNumber = 0;
  const behaviourByRequest = new Map<number, RunnerBehaviour>([
    [0, 'former'],
    [5, 'former'],
  ]);
  const fixture = new RouterFixture(() => behaviourByRequest.get(requestNumber) ?? 'reply');
  fixture.pool.setRunners([{ address: 'a', services: ['s'], state: 'live' }]);
  const results: boolean[] = [];
  for (; requestNumber < 8; requestNumber += 1) {
    void fixture.route(requestNumber * 2).then((result) => results.push(result.isOk));
    await fixture.advance(40);
  }
  expect(results).toEqual([true, true, true, true, true, false, true, true]);
  expect(fixture.routers[0]?.describe().foreignReplies).toEqual(1);
});

test('the router counts a request that is cancelled while it waits and removes its slot request', async () => {
  // Guards against a slot that is granted to a caller which no longer waits.
  const fixture = new RouterFixture(() => 'hang');
  for (let index = 1; index < 80; index += 6) void fixture.route(index);
  await RouterFixture.flush();
  fixture.pool.setRunners([{ address: 'z', services: ['s'], state: 'live' }]);
  for (let index = 0; index < 8; index += 1) {
    void fixture.pool.acquire({
      grantId: `z${index}`,
      service: 's',
      lane: 'prompt',
      deadlineMs: 400,
      holder: 'z',
      exclude: [],
    });
  }
  const caller = new AbortController();
  const request = { requestId: 'x', service: 's', user: 'u', team: 't', lane: 'heavy' as const };
  const body = new Uint8Array();
  const content = { contentType: 'text/plain', body, deadlineMs: 300, signal: caller.signal };
  const answer = fixture.routers[0]?.route({ ...request, ...content });
  await RouterFixture.flush();
  expect(fixture.pool.describe().waiting.heavy).toEqual(1);
  caller.abort();
  expect((await answer)?.isErr).toEqual(true);
  expect(fixture.pool.describe().waiting.heavy).toEqual(0);
  const rows = fixture.routers[0]?.takeOutcomes() ?? [];
  expect(rows.map((row) => row.outcome)).toEqual(['cancelled']);
});
