import { test } from 'node:test';
import { expect } from 'earl';
import Result from 'true-myth/result';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import { PeerTracker } from './peer-tracker.js';
import type { PeerCalls } from './peer-calls.js';

type Reply = PeerCallMap['offer-help']['reply'];

const claim = { owner: 'o/1', address: 'o', token: 3 };

function replyWith(fields: Partial<Reply>): Reply {
  return {
    life: claim.owner,
    storeSilentMs: 0,
    largestCores: 1,
    loopDelayMs: 0,
    claim,
    standbys: [],
    others: [],
    isStandby: false,
    pending: null,
    ...fields,
  };
}

/** The tracker of a process without a replica; the test answers its calls. */
function create() {
  const clock = ManualClock.create(1_000_000);
  const calls: { address: string; answer: (reply: Reply) => Promise<void> }[] = [];
  const call = ((address: string) =>
    new Promise((resolve) => {
      calls.push({
        address,
        answer: async (reply) => {
          resolve(Result.ok(reply));
          await settle();
        },
      });
    })) as unknown as PeerCalls['call'];
  const tracker = PeerTracker.create({
    clock,
    peers: { call },
    ownAddress: 'self',
    dataCentre: 'd',
    replicaClaim: () => undefined,
    offeredCores: () => 0,
    onOwnerReply: () => undefined,
    onReplaced: () => undefined,
  });
  tracker.noteClaim(claim);
  return { clock, tracker, calls };
}

async function settle(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

// Guards against a count that was heard before the machine was suspended and looks young after it.
test('counts a suspension in the age of a heard count', async () => {
  const { clock, tracker, calls } = create();
  void tracker.contactOwner();
  await calls[0]?.answer(replyWith({ pending: [['q', 14]], pendingAgeMs: 0 }));
  expect(tracker.pendingCountOf('q')?.count).toEqual(14);
  clock.jumpWall(5_000);
  expect(tracker.pendingCountOf('q')).toEqual({ count: 14, ageMs: 5_000 });
});

// Guards against ages that add up over several processes, each below a bound of its own (MIXED on
// capsula-austral-grown): the teller's replica is old already, and its reply takes its time.
test('adds the age at the teller and the time that the question took', async () => {
  const { clock, tracker, calls } = create();
  void tracker.contactOwner();
  clock.advance(150);
  await calls[0]?.answer(replyWith({ pending: [['q', 14]], pendingAgeMs: 700 }));
  clock.advance(100);
  expect(tracker.pendingCountOf('q')).toEqual({ count: 14, ageMs: 950 });
});

// Guards against a reply of the previous version, which does not say its age, being taken for young, and
// against a process that breaks on it.
test('does not hand on counts of unknown age', async () => {
  const { tracker, calls } = create();
  void tracker.contactOwner();
  await calls[0]?.answer(replyWith({ pending: [['q', 14]] }));
  expect(tracker.pendingCountOf('q')).toEqual(undefined);
  expect(tracker.contactAgeMs()).toEqual(0);
});

// Guards against a count that is believed again after a newer one was heard: the owner's reply was under
// way for long, and a standby was asked meanwhile.
test('keeps the newer of two counts, whichever comes last', async () => {
  const { clock, tracker, calls } = create();
  tracker.noteStandbys([['s', 'd']]);
  void tracker.contactOwner();
  clock.advance(200);
  expect(calls.map(({ address }) => address)).toEqual(['o', 's', 'o']);
  await calls[1]?.answer(replyWith({ pending: [['q', 172]], pendingAgeMs: 20 }));
  clock.advance(400);
  await calls[0]?.answer(replyWith({ pending: [['q', 14]], pendingAgeMs: 0 }));
  expect(tracker.pendingCountOf('q')).toEqual({ count: 172, ageMs: 420 });
});

// Guards against questions to processes that have given their replicas up: a standby that has not heard of
// the present owner names the standbys of the former one, and was believed after the present owner.
test('does not take the standbys of a former owner for those of the present one', async () => {
  const { clock, tracker, calls } = create();
  tracker.noteStandbys([['s', 'd']]);
  void tracker.contactOwner();
  clock.advance(200);
  const present = { ...claim, token: 4 };
  await calls[0]?.answer(replyWith({ claim: present, standbys: [['new', 'd']] }));
  await calls[1]?.answer(replyWith({ standbys: [['old', 'd']] }));
  expect(tracker.knownStandbys()).toEqual([['new', 'd']]);
});
