import { test } from 'node:test';
import { expect } from 'earl';
import Result from 'true-myth/result';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { PausableClock } from '@acaciahoist/clock/pausable-clock';
import type { PeerCalls } from '@acaciahoist/cell-process/peer-calls';
import { CallFault } from './call-fault.js';
import { EmulatedPeers } from './emulated-peers.js';

const TIMEOUT_MS = 700;

/** Two processes; b answers each call and counts them. */
async function startPeers() {
  const base = ManualClock.create();
  const members = new Map(
    ['a', 'b'].map((name) => [name, { isUp: true, clock: PausableClock.create(base) }]),
  );
  const peers = EmulatedPeers.create(base, (name) => members.get(name));
  const clockOf = (name: string): PausableClock =>
    members.get(name)?.clock ?? PausableClock.create(base);
  const refused: string[] = [];
  const caller: PeerCalls = peers.createClient('a', clockOf('a'));
  await caller.start(
    () => Promise.resolve(Result.ok({})),
    (address) => refused.push(address),
  );
  await peers.createClient('b', clockOf('b')).start(
    () => Promise.resolve(Result.ok({})),
    () => undefined,
  );
  const advance = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += 1) {
      base.advance(1);
      await new Promise((resolve) => setImmediate(resolve));
    }
  };
  /** Calls b; returns the time of the answer and its kind. */
  const call = async (): Promise<{ atMs: number; kind: string }> => {
    const answer = await caller.call('b', 'owner-changed', { claim }, TIMEOUT_MS);
    return { atMs: base.monotonicMs(), kind: answer.isOk ? 'ok' : answer.error.kind };
  };
  const countExecutedCalls = (): number => peers.executedCallCounts.get('owner-changed') ?? 0;
  return { peers, members, refused, pass: advance, call, carriedOut: countExecutedCalls };
}

const claim = { owner: 'a/1', address: 'a', token: 1 };

// Guards against calls between processes that cannot fail in the emulator: faults of hand-overs between
// processes would not show.
test('answers after the way there and back', async () => {
  const { call, pass } = await startPeers();
  const answer = call();
  await pass(10);
  expect(await answer).toEqual({ atMs: 4, kind: 'ok' });
});

test('tells a call that was lost, or whose answer was, at the time limit', async () => {
  for (const [fault, carried] of [
    [CallFault.lost, 0],
    [CallFault.answerLost, 1],
    [CallFault.late, 1],
  ] as const) {
    const { call, pass, peers, carriedOut } = await startPeers();
    peers.chooseFault = () => fault;
    const answer = call();
    await pass(TIMEOUT_MS);
    expect(await answer).toEqual({ atMs: TIMEOUT_MS, kind: 'outcome-unknown' });
    await pass(5_000);
    expect(carriedOut()).toEqual(carried);
  }
});

test('obeys the time limit on a slow way', async () => {
  const { call, pass, peers, carriedOut } = await startPeers();
  peers.getExtraDelayMs = () => 400;
  const answer = call();
  await pass(TIMEOUT_MS);
  expect(await answer).toEqual({ atMs: TIMEOUT_MS, kind: 'outcome-unknown' });
  expect(carriedOut()).toEqual(1);
});

test('refuses a call to a process that is down, and is silent without power', async () => {
  const { call, pass, peers, members, refused } = await startPeers();
  const callee = members.get('b');
  if (callee !== undefined) callee.isUp = false;
  expect(await call()).toEqual({ atMs: 0, kind: 'owner-unreachable' });
  expect(refused).toEqual(['b']);
  peers.unpoweredProcesses.add('b');
  const answer = call();
  await pass(TIMEOUT_MS);
  expect(await answer).toEqual({ atMs: TIMEOUT_MS, kind: 'owner-unreachable' });
  expect(refused).toEqual(['b']);
});

test('holds a call to a paused process back until it goes on', async () => {
  const { call, pass, members, carriedOut } = await startPeers();
  const clock = members.get('b')?.clock;
  clock?.pause();
  const answer = call();
  await pass(TIMEOUT_MS);
  expect((await answer).kind).toEqual('outcome-unknown');
  expect(carriedOut()).toEqual(0);
  for (const run of clock?.resume().arrivals ?? []) run();
  await pass(1);
  expect(carriedOut()).toEqual(1);
});
