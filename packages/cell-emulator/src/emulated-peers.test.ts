import { test } from 'node:test';
import { expect } from 'earl';
import Result from 'true-myth/result';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { PausableClock } from '@acaciahoist/clock/pausable-clock';
import type { PeerCalls } from '@acaciahoist/cell-process/peer-calls';
import { CallFault } from './call-fault.js';
import { EmulatedPeers } from './emulated-peers.js';

const TIMEOUT_MS = 700;

/** Starts the processes a and b. `call` sends a call from a to b, which replies to each. */
async function startPeers() {
  const base = ManualClock.create();
  const processes = new Map(
    ['a', 'b'].map((name) => [name, { isUp: true, clock: PausableClock.create(base) }]),
  );
  const peers = EmulatedPeers.create(base, (name) => processes.get(name));
  const getClock = (name: string): PausableClock =>
    processes.get(name)?.clock ?? PausableClock.create(base);
  const refused: string[] = [];
  const caller: PeerCalls = peers.createClient('a', getClock('a'));
  await caller.start(
    () => Promise.resolve(Result.ok({})),
    (address) => refused.push(address),
  );
  await peers.createClient('b', getClock('b')).start(
    () => Promise.resolve(Result.ok({})),
    () => undefined,
  );
  const advance = async (ms: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 1) {
      base.advance(1);
      await new Promise((resolve) => setImmediate(resolve));
    }
  };
  /** Calls b; returns the time of the reply and its kind. */
  const call = async (): Promise<{ atMs: number; kind: string }> => {
    const reply = await caller.call('b', 'owner-changed', { claim }, TIMEOUT_MS);
    return { atMs: base.monotonicMs(), kind: reply.isOk ? 'ok' : reply.error.kind };
  };
  const countExecutedCalls = (): number => peers.executedCallCounts.get('owner-changed') ?? 0;
  return { peers, processes, refused, advance, call, countExecutedCalls };
}

const claim = { owner: 'a/1', address: 'a', token: 1 };

// The tests below guard against an emulator that does not apply the delay or the fault of a call: tests of a
// cell would then not detect errors in calls between processes.
test('an emulated call gets its reply after the delays of both directions', async () => {
  const { call, advance } = await startPeers();
  const reply = call();
  await advance(10);
  expect(await reply).toEqual({ atMs: 4, kind: 'ok' });
});

test('an emulated call that is lost or late, or whose reply is lost, fails at its timeout', async () => {
  for (const [fault, executedCount] of [
    [CallFault.lost, 0],
    [CallFault.replyLost, 1],
    [CallFault.late, 1],
  ] as const) {
    const { call, advance, peers, countExecutedCalls } = await startPeers();
    peers.chooseFault = () => fault;
    const reply = call();
    await advance(TIMEOUT_MS);
    expect(await reply).toEqual({ atMs: TIMEOUT_MS, kind: 'outcome-unknown' });
    await advance(5_000);
    expect(countExecutedCalls()).toEqual(executedCount);
  }
});

test('an emulated call over a slow connection fails at its timeout', async () => {
  const { call, advance, peers, countExecutedCalls } = await startPeers();
  peers.getExtraDelayMs = () => 400;
  const reply = call();
  await advance(TIMEOUT_MS);
  expect(await reply).toEqual({ atMs: TIMEOUT_MS, kind: 'outcome-unknown' });
  expect(countExecutedCalls()).toEqual(1);
});

test('an emulated call to a process that is down is refused, and gets no reply if its machine is off', async () => {
  const { call, advance, peers, processes, refused } = await startPeers();
  const callee = processes.get('b');
  if (callee !== undefined) callee.isUp = false;
  expect(await call()).toEqual({ atMs: 0, kind: 'owner-unreachable' });
  expect(refused).toEqual(['b']);
  peers.unpoweredProcesses.add('b');
  const reply = call();
  await advance(TIMEOUT_MS);
  expect(await reply).toEqual({ atMs: TIMEOUT_MS, kind: 'owner-unreachable' });
  expect(refused).toEqual(['b']);
});

test('an emulated call to a paused process is executed once the process resumes', async () => {
  const { call, advance, processes, countExecutedCalls } = await startPeers();
  const clock = processes.get('b')?.clock;
  clock?.pause();
  const reply = call();
  await advance(TIMEOUT_MS);
  expect((await reply).kind).toEqual('outcome-unknown');
  expect(countExecutedCalls()).toEqual(0);
  for (const run of clock?.resume().arrivals ?? []) run();
  await advance(1);
  expect(countExecutedCalls()).toEqual(1);
});
