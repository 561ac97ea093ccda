import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { Authority } from './authority.js';
import type { SlotGrant } from './slot-grant.js';
import { SlotPool } from './slot-pool.js';
import { poolFixture } from './pool-fixture.js';

const {
  SLOTS_PER_RUNNER,
  MAX_DEADLINE_MS,
  MARGIN_MS,
  createPool,
  createRequest,
  createLiveRunner,
  flushPromises,
  acquireAndRecord,
} = poolFixture;

console.log('slot-pool-rules.test uses no random numbers');

test('a successor grants every free slot once its predecessor has reported its grants and stopped', async () => {
  // Guards against a planned change of the owner after which the slots stay quarantined for the hold time,
  // or the reported grants are ignored and their slots are granted twice.
  const clock = ManualClock.create();
  const first = createPool(clock, 1);
  const second = createPool(clock, 2);
  for (const pool of [first, second]) pool.setRunners([createLiveRunner('a')]);
  first.setAuthority(Authority.leased);
  const granted: SlotGrant[] = [];
  for (const id of ['x', 'y', 'z']) acquireAndRecord(first, createRequest(id), granted);
  await flushPromises();
  second.startAfterFailover({ leaseGrantsEndAtMs: 5_000, holdGrantsEndAtMs: 3_600_000 });
  second.setAuthority(Authority.leased);
  const next: SlotGrant[] = [];
  for (let index = 0; index < 20; index += 1)
    acquireAndRecord(second, createRequest(`n${index}`, { lane: 'prompt' }), next);
  await flushPromises();
  expect(next.length).toEqual(0);
  second.markPredecessorStopped(first.outstanding());
  await flushPromises();
  expect(next.length).toEqual(SLOTS_PER_RUNNER - granted.length);
  second.release('x', 'ended');
  await flushPromises();
  expect(next.length).toEqual(SLOTS_PER_RUNNER - granted.length + 1);
});

test('a paused owner grants nothing once its lease has ended by its own clock', async () => {
  // Guards against grants under an authority that was set before a pause: during the pause no timer calls
  // `setAuthority`.
  const clock = ManualClock.create();
  const pool = SlotPool.create({
    clock,
    token: 1,
    slotsPerRunner: SLOTS_PER_RUNNER,
    heldSlotsPercent: 0,
    maxDeadlineMs: MAX_DEADLINE_MS,
    readAuthority: () => (clock.monotonicMs() < 100 ? Authority.leased : Authority.holding),
  });
  pool.setRunners([createLiveRunner('a')]);
  pool.setAuthority(Authority.leased);
  const granted: SlotGrant[] = [];
  acquireAndRecord(pool, createRequest('early'), granted);
  clock.advance(150);
  acquireAndRecord(pool, createRequest('late'), granted);
  await flushPromises();
  expect(granted.map((grant) => grant.grantId)).toEqual(['early']);
  const other = SlotPool.create({
    clock,
    token: 2,
    slotsPerRunner: SLOTS_PER_RUNNER,
    heldSlotsPercent: 0,
    maxDeadlineMs: MAX_DEADLINE_MS,
    readAuthority: () => Authority.leased,
  });
  other.setRunners([createLiveRunner('a')]);
  other.setAuthority(Authority.holding);
  acquireAndRecord(other, createRequest('weaker authority counts'), granted);
  await flushPromises();
  expect(granted.length).toEqual(1);
});

test('the pool grants slots to prompt work before older heavy work, and reserves a slot for it', async () => {
  // Guards against head-of-line blocking of prompt work by heavy work.
  const clock = ManualClock.create();
  const pool = createPool(clock);
  pool.setRunners([createLiveRunner('a')]);
  pool.setAuthority(Authority.leased);
  const granted: SlotGrant[] = [];
  for (let index = 0; index < 12; index += 1)
    acquireAndRecord(pool, createRequest(`h${index}`), granted);
  await flushPromises();
  expect(granted.length).toEqual(SLOTS_PER_RUNNER - 1);
  acquireAndRecord(pool, createRequest('p0', { lane: 'prompt' }), granted);
  acquireAndRecord(pool, createRequest('p1', { lane: 'prompt' }), granted);
  await flushPromises();
  expect(granted.at(-1)?.grantId).toEqual('p0');
  pool.release('h0', 'ended');
  await flushPromises();
  expect(granted.at(-1)?.grantId).toEqual('p1');
  pool.setRunners([createLiveRunner('a', ['t', 's'])]);
  acquireAndRecord(pool, createRequest('later', { service: 't' }), granted);
  for (const id of ['h1', 'h2']) pool.release(id, 'ended');
  await flushPromises();
  expect(granted.at(-1)?.grantId).toEqual('h8');
});

test('the pool refuses a request at once when its expected wait exceeds the deadline or the queue is full', async () => {
  // Guards against a request that waits until its deadline and is refused only then, because the queue before
  // it is too long.
  const clock = ManualClock.create();
  const pool = createPool(clock, 1, 20);
  pool.setRunners([createLiveRunner('a')]);
  pool.setAuthority(Authority.leased);
  const granted: SlotGrant[] = [];
  const refused: string[] = [];
  for (let round = 0; round < 6; round += 1) {
    acquireAndRecord(pool, createRequest(`warm${round}`), granted, refused);
    clock.advance(100);
    pool.release(`warm${round}`, 'ended');
  }
  for (let index = 0; index < 7 + 14; index += 1)
    acquireAndRecord(pool, createRequest(`w${index}`), granted, refused);
  acquireAndRecord(pool, createRequest('short', { deadlineMs: 100 }), granted, refused);
  acquireAndRecord(pool, createRequest('long', { deadlineMs: 900 }), granted, refused);
  await flushPromises();
  expect(refused).toEqual(['short overloaded']);
  expect(pool.describe().counts.shed).toEqual(1);
  for (let index = 0; index < 6; index += 1)
    acquireAndRecord(pool, createRequest(`f${index}`), granted, refused);
  await flushPromises();
  expect(pool.describe().counts.queueFull).toEqual(1);
});

test('the expected wait counts only queues that the same runners serve', async () => {
  // Guards against refusing a request because of the queue of a service that shares no runner with it.
  for (const [services, expected] of [
    [['t'], 0],
    [['s', 't'], 1],
  ] as const) {
    const clock = ManualClock.create();
    const pool = createPool(clock);
    pool.setRunners([createLiveRunner('a', ['s']), createLiveRunner('b', [...services])]);
    pool.setAuthority(Authority.leased);
    const exclude = services.length === 1 ? [] : ['a'];
    for (let round = 0; round < 6; round += 1) {
      acquireAndRecord(pool, createRequest(`s${round}`), []);
      acquireAndRecord(pool, createRequest(`t${round}`, { service: 't' }), []);
      clock.advance(100);
      for (const service of ['s', 't']) pool.release(`${service}${round}`, 'ended');
    }
    for (let index = 0; index < 40; index += 1) {
      acquireAndRecord(pool, createRequest(`more t${index}`, { service: 't' }), []);
    }
    for (let index = 0; index < 7; index += 1)
      acquireAndRecord(pool, createRequest(`more s${index}`), []);
    const refused: string[] = [];
    acquireAndRecord(pool, createRequest('last', { deadlineMs: 50, exclude }), [], refused);
    await flushPromises();
    expect(refused.length).toEqual(expected);
  }
});

test('the pool cancels the waiting requests of an exited process and keeps its grants until their deadlines', async () => {
  // Guards against granting slots again while a runner still works for a process that has exited.
  const clock = ManualClock.create();
  const pool = createPool(clock);
  pool.setRunners([createLiveRunner('a')]);
  pool.setAuthority(Authority.leased);
  const granted: SlotGrant[] = [];
  const refused: string[] = [];
  for (let index = 0; index < 10; index += 1) {
    acquireAndRecord(pool, createRequest(`g${index}`, { holder: 'gone' }), granted, refused);
  }
  acquireAndRecord(pool, createRequest('other'), granted, refused);
  pool.releaseHolder('gone');
  await flushPromises();
  expect(refused).toEqual(['g7 cancelled', 'g8 cancelled', 'g9 cancelled']);
  clock.advance(MAX_DEADLINE_MS - 1);
  await flushPromises();
  expect(granted.length).toEqual(7);
  const nextRequest = createRequest('next');
  acquireAndRecord(pool, nextRequest, granted, refused);
  clock.advance(MAX_DEADLINE_MS * 0.02 + MARGIN_MS + 1);
  await flushPromises();
  expect(granted.at(-1)?.grantId).toEqual('next');
  expect(pool.describe().counts.expiredGrants).toEqual(7);
});
