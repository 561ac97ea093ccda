import { test } from 'node:test';
import { expect } from 'earl';
import Result from 'true-myth/result';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { Failure } from '@acaciahoist/errors';
import { Membership } from '@acaciahoist/membership';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';
import type { EntryContext } from './entry-context.js';
import { PredecessorTracker } from './predecessor-tracker.js';

const HOLD_MS = 10_000;
const createIdentity = (process: string): ProcessIdentity => ({
  process,
  incarnation: `${process}-1`,
  dataCentre: 'd',
});
const createHeartbeat = (process: string) => ({
  incarnation: `${process}-1`,
  dataCentre: 'd',
  ready: true,
  revision: 1,
  held: [],
});
const unreachable = Result.err(Failure.create('owner-unreachable', 'no connection'));

function createTracker(refusalProvesExit: boolean) {
  const clock = ManualClock.create();
  const identity = createIdentity('c');
  const membership = Membership.create({
    clock,
    identity,
    heartbeatMs: 500,
    digestMs: 2_000,
    random: () => 0,
    call: () => Promise.resolve(unreachable),
    describeSelf: () => createHeartbeat('c'),
  });
  for (const process of ['a', 'b'])
    membership.acceptHeartbeat(createIdentity(process), createHeartbeat(process));
  const settings = { holdMs: HOLD_MS, refusalProvesExit };
  // Only the fields that the tracker reads.
  const context = {
    clock,
    identity,
    membership,
    settings,
    log: () => undefined,
  } as unknown as EntryContext;
  const tracker = PredecessorTracker.create({
    context,
    partition: 'p',
    listUnreleased: () => [
      { token: 3, holder: createIdentity('a') },
      { token: 9, holder: createIdentity('b') },
    ],
    callPeer: () => Promise.resolve(unreachable),
  });
  tracker.recordFirstSeen();
  return { clock, membership, tracker };
}

// Guards against granting a slot twice: the earlier of two predecessors may be paused and still use its slots.
test('the predecessor tracker waits out the hold time of a predecessor although a later one has exited', () => {
  const { clock, membership, tracker } = createTracker(true);
  membership.recordRefusedConnection('b');
  clock.advance(1_000);
  expect(tracker.findLatestEndAtMs()).toEqual(HOLD_MS * 1.02);
});

// Guards against slots that stay blocked too long because an exit is dated to the claim instead of to its
// observation.
test('the predecessor tracker returns the last observed exit when all predecessors have exited', () => {
  const { clock, membership, tracker } = createTracker(true);
  membership.recordRefusedConnection('a');
  clock.advance(700);
  membership.recordRefusedConnection('b');
  clock.advance(5_000);
  expect(tracker.findLatestEndAtMs()).toEqual(700);
});

// Guards against taking a refused connection for the exit of a process although the settings rule it out.
test('the predecessor tracker ignores refused connections when refusalProvesExit is off', () => {
  const { membership, tracker } = createTracker(false);
  membership.recordRefusedConnection('a');
  membership.recordRefusedConnection('b');
  expect(tracker.findLatestEndAtMs()).toEqual(HOLD_MS * 1.02);
});
