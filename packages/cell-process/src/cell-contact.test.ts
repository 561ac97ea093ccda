import { test } from 'node:test';
import { expect } from 'earl';
import Result from 'true-myth/result';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';
import { CellContact } from './cell-contact.js';
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

/** The contact of a process without a replica; the test answers its calls. */
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
  const contact = CellContact.create({
    clock,
    peers: { call },
    ownAddress: 'self',
    dataCentre: 'd',
    replicaClaim: () => undefined,
    offeredCores: () => 0,
    onOwnerReply: () => undefined,
    onReplaced: () => undefined,
  });
  contact.heardClaim(claim);
  return { clock, contact, calls };
}

async function settle(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

// Guards against a count that was heard before the machine was suspended and looks young after it.
test('does not hand on counts from before a suspension', async () => {
  const { clock, contact, calls } = create();
  void contact.call();
  await calls[0]?.answer(replyWith({ pending: [['q', 14]] }));
  expect(contact.pendingOf('q')?.count).toEqual(14);
  clock.jumpWall(5_000);
  expect(contact.pendingOf('q')).toEqual(undefined);
});
