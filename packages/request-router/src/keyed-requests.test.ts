import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { KeyedFixture } from './keyed-fixture.js';
import type { OwnerFaultPlan } from './owner-fault-plan.js';

const appendFaults = [
  'ok',
  'refused',
  'unknown-done',
  'unknown-late',
  'unknown-lost',
  'never',
] as const;
const sendFaults = ['reply', 'unsent', 'cut', 'hang', 'delayed', 'error-status', 'broken'] as const;

const seed = Number(process.env.SEED ?? 20_250_601);
console.log(`keyed-requests.test seed ${seed}`);

const flush = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

const arbitraryPlan: fc.Arbitrary<OwnerFaultPlan> = fc.record({
  appends: fc.array(fc.constantFrom(...appendFaults), { maxLength: 4 }),
  sends: fc.array(fc.constantFrom(...sendFaults), { maxLength: 3 }),
  slots: fc.array(fc.constantFrom('ok', 'overloaded', 'never'), { maxLength: 2 }),
  leaseLostAtStep: fc.integer({ min: 0, max: 100 }),
  crashAtStep: fc.integer({ min: 0, max: 60 }),
  claimsClosedAtStep: fc.nat(30),
  calls: fc.array(
    fc.record({
      atStep: fc.nat(40),
      hasOtherBody: fc.boolean(),
      deadlineMs: fc.integer({ min: 20, max: 400 }),
    }),
    { minLength: 1, maxLength: 5 },
  ),
});

const createRequest = (body: string, deadlineMs: number, key = 'key') => ({
  requestId: 'r',
  service: 's',
  user: 'u',
  team: 't',
  lane: 'heavy' as const,
  contentType: 'text/plain',
  body: new TextEncoder().encode(body),
  deadlineMs,
  key,
});

test('a keyed request runs at most once despite crashes, pauses and lost appends at every step', async () => {
  // Guards against a second send after a claim, a send or a record without a definite result, or after a
  // pause between the check of the lease and the send. Also guards against a reply that is returned before
  // it is recorded, and against "not run" for a request that ran.
  await fc.assert(
    fc.asyncProperty(fc.array(arbitraryPlan, { minLength: 1, maxLength: 4 }), async (plans) => {
      const fixture = new KeyedFixture();
      let answerCount = 0;
      let requestCount = 0;
      for (const plan of plans) {
        const { keyed, state } = fixture.createOwner({
          ...plan,
          appends: [...plan.appends],
          sends: [...plan.sends],
          slots: [...plan.slots],
        });
        const isOpen = (key: string): boolean => fixture.journal.get(key)?.done === undefined;
        const openKeys = [...fixture.journal.keys()].filter(isOpen);
        for (let step = 0; step < 60; step += 1) {
          if (step === plan.claimsClosedAtStep) fixture.closeClaims(openKeys);
          if (step === plan.leaseLostAtStep) state.isLeased = false;
          if (step === plan.crashAtStep) state.isAlive = false;
          for (const { atStep, hasOtherBody, deadlineMs } of plan.calls) {
            if (atStep !== step || !state.isAlive) continue;
            const body = hasOtherBody ? 'other' : 'first';
            requestCount += 1;
            void keyed.run(createRequest(body, deadlineMs)).then((answer) => {
              answerCount += 1;
              fixture.checkAnswer(answer, body);
            });
          }
          fixture.clock.advance(10);
          await flush();
        }
        state.isLeased = false;
      }
      fixture.clock.advance(1_000);
      await flush();
      expect(fixture.startedBodies.length).toBeLessThanOrEqual(1);
      expect(fixture.violations).toEqual([]);
      expect(answerCount).toEqual(requestCount);
    }),
    { seed, numRuns: 400 },
  );
});

const faultlessPlan: OwnerFaultPlan = {
  appends: [],
  sends: [],
  slots: [],
  leaseLostAtStep: 999,
  crashAtStep: 999,
  claimsClosedAtStep: 999,
  calls: [],
};

async function advanceAndAwait<T>(
  fixture: KeyedFixture,
  promises: Promise<T>[],
  totalMs = 400,
): Promise<T[]> {
  for (let passedMs = 0; passedMs < totalMs; passedMs += 5) {
    fixture.clock.advance(5);
    await flush();
  }
  return Promise.all(promises);
}

test('the keyed requests give concurrent and later calls the recorded reply and refuse another body', async () => {
  // Guards against a second run for a concurrent call, and against a key that is used again for another
  // request and gets the reply to the first.
  const fixture = new KeyedFixture();
  const { keyed } = fixture.createOwner(faultlessPlan);
  const bodies = ['first', 'first', 'other'];
  const answers = await advanceAndAwait(
    fixture,
    bodies.map((body) => keyed.run(createRequest(body, 300))),
  );
  const [again] = await advanceAndAwait(fixture, [keyed.run(createRequest('first', 300))]);
  const results = [...answers, again].map((answer) =>
    answer?.isOk === true ? answer.value.isRepeated : answer?.error.kind,
  );
  expect(results).toEqual([false, true, 'key-conflict', true]);
  expect(fixture.startedBodies).toEqual(['first']);
});

test('the keyed requests record a claimed but unsent request as refused, and a later call runs it', async () => {
  // Guards against a key that is unusable for a day because the runners were briefly overloaded.
  const fixture = new KeyedFixture();
  const { keyed } = fixture.createOwner({ ...faultlessPlan, slots: ['overloaded'] });
  const [refused] = await advanceAndAwait(fixture, [keyed.run(createRequest('first', 300))]);
  expect(refused?.isErr === true && refused.error.kind).toEqual('overloaded');
  expect(fixture.journal.get('key')?.done?.outcome).toEqual('refused');
  const [done] = await advanceAndAwait(fixture, [keyed.run(createRequest('first', 300))]);
  expect(done?.isOk).toEqual(true);
});

test('the keyed requests keep a key usable after a claim without a definite result', async () => {
  // Guards against a key that stays claimed for a day because the reply to its claim was lost, although
  // nothing was sent.
  const fixture = new KeyedFixture();
  const { keyed } = fixture.createOwner({ ...faultlessPlan, appends: ['unknown-done'] });
  const [first] = await advanceAndAwait(fixture, [keyed.run(createRequest('first', 300))]);
  expect(first?.isErr === true && first.error.kind).toEqual('outcome-unknown');
  const [second] = await advanceAndAwait(fixture, [keyed.run(createRequest('first', 300))]);
  expect(second?.isOk).toEqual(true);
});

test('the keyed requests answer before the deadline that a request without a slot was not sent', async () => {
  // Guards against the answer "unknown" because the refusal is recorded after the deadline.
  const fixture = new KeyedFixture();
  const { keyed } = fixture.createOwner({ ...faultlessPlan, slots: ['never'] });
  const [refused] = await advanceAndAwait(fixture, [keyed.run(createRequest('first', 300))]);
  expect(refused?.isErr === true && refused.error.kind).toEqual('deadline-exceeded');
});

test('the keyed requests return a reply over 64 KiB complete and record only its digest', async () => {
  // Guards against journal records that grow with the replies.
  const fixture = new KeyedFixture();
  const { keyed } = fixture.createOwner(faultlessPlan);
  const body = 'x'.repeat(65_536);
  const first = (
    await advanceAndAwait(fixture, [keyed.run(createRequest(body, 300))])
  )[0]?.unwrapOr(undefined);
  const second = (
    await advanceAndAwait(fixture, [keyed.run(createRequest(body, 300))])
  )[0]?.unwrapOr(undefined);
  expect(first?.reply.body?.length).toEqual(65_541);
  expect(second?.reply).toEqual({ ...first?.reply, body: null } as never);
});

test('the keyed requests try another runner only while no byte was sent and do not send without a lease', async () => {
  // Guards against a retry after the first byte, and against a send by an owner whose lease has ended.
  const fixture = new KeyedFixture();
  const { keyed, state } = fixture.createOwner({
    ...faultlessPlan,
    sends: ['unsent', 'cut', 'reply'],
  });
  const [lost] = await advanceAndAwait(fixture, [keyed.run(createRequest('first', 300))]);
  expect(lost?.isErr === true && lost.error.kind).toEqual('outcome-unknown');
  expect(fixture.startedBodies.length).toEqual(1);
  const callBeforeLeaseEnd = keyed.run(createRequest('late', 300, 'other key'));
  fixture.clock.advance(11);
  await flush();
  state.isLeased = false;
  const [unsent] = await advanceAndAwait(fixture, [callBeforeLeaseEnd]);
  expect(unsent?.isErr === true && unsent.error.kind).toEqual('outcome-unknown');
  expect(fixture.startedBodies).toEqual(['first']);
});

test('the keyed requests answer unknown until an outcome is recorded, which they retry in the background', async () => {
  // Guards against a reply that is lost in an outage of the log, and against a second run during it.
  const fixture = new KeyedFixture();
  const { keyed } = fixture.createOwner({
    ...faultlessPlan,
    appends: ['ok', 'refused', 'refused'],
  });
  const [first] = await advanceAndAwait(fixture, [keyed.run(createRequest('first', 300))], 60);
  const [second] = await advanceAndAwait(fixture, [keyed.run(createRequest('first', 300))], 60);
  for (const answer of [first, second]) {
    expect(answer?.isErr === true && answer.error.kind).toEqual('outcome-unknown');
  }
  const [third] = await advanceAndAwait(fixture, [], 900).then(() =>
    advanceAndAwait(fixture, [keyed.run(createRequest('first', 9))]),
  );
  expect(third?.isOk === true && third.value.isRepeated).toEqual(true);
  expect(keyed.describe().unsettled).toEqual(0);
  expect(fixture.startedBodies.length).toEqual(1);
});

test('the keyed requests, when drained, wait until running keys are recorded and refuse new keys', async () => {
  // Guards against a planned stop that interrupts a request or loses its outcome.
  const fixture = new KeyedFixture();
  const { keyed } = fixture.createOwner(faultlessPlan);
  const running = keyed.run(createRequest('first', 300));
  let isDrained = false;
  void keyed.drain().then(() => {
    isDrained = true;
  });
  const refused = await keyed.run(createRequest('new', 300, 'new key'));
  expect(refused.isErr && refused.error.kind).toEqual('not-ready');
  expect(isDrained).toEqual(false);
  expect((await advanceAndAwait(fixture, [running]))[0]?.isOk).toEqual(true);
  expect(isDrained).toEqual(true);
});
