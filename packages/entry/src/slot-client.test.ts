import { test } from 'node:test';
import { expect } from 'earl';
import Result from 'true-myth/result';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { Failure } from '@acaciahoist/errors';
import { SlotClient } from './slot-client.js';

const request = {
  service: 's',
  lane: 'heavy',
  deadlineMs: 1_000,
  holder: 'p',
  exclude: [],
} as const;

type Options = Parameters<typeof SlotClient.create>[0];

// Guards against equal shares for pools of different size, which overload the small one.
test('the slot client distributes requests over the pools in proportion to their runners', async () => {
  const runners: Record<string, number> = { 'dc.0': 6, 'dc.1': 2, 'dc.2': 0 };
  const requestCounts = new Map<string, number>();
  const callOwner = ((partition: string) => {
    requestCounts.set(partition, (requestCounts.get(partition) ?? 0) + 1);
    return Promise.resolve(Result.ok({ runner: `runner of ${partition}` }));
  }) as unknown as Options['callOwner'];
  const client = SlotClient.create({
    clock: ManualClock.create(),
    listPartitions: () => Object.keys(runners),
    countRunners: (partition) => runners[partition] ?? 0,
    callOwner,
  });
  for (let number = 0; number < 80; number += 1) {
    const granted = await client.acquire({ ...request, grantId: `g${number}` });
    expect(granted.isOk).toEqual(true);
  }
  expect(Object.fromEntries(requestCounts)).toEqual({ 'dc.0': 60, 'dc.1': 20 });
});

// Guards against slots that stay in use until their deadline because the owner receives the release before the
// request.
test('the slot client sends a second release when the grant arrives after the first one', async () => {
  const { promise, resolve } = createDeferred();
  const released: string[] = [];
  const callOwner = ((_: string, type: string, body: { grantId: string }) => {
    if (type === 'slot-request') return promise;
    released.push(body.grantId);
    return Promise.resolve(Result.ok({}));
  }) as unknown as Options['callOwner'];
  const client = SlotClient.create({
    clock: ManualClock.create(),
    listPartitions: () => ['dc.0'],
    countRunners: () => 1,
    callOwner,
  });
  const granted = client.acquire({ ...request, grantId: 'g' });
  client.release('g', 'not-sent');
  resolve(Result.ok({ runner: 'r' }));
  expect((await granted).isOk).toEqual(true);
  client.release('g', 'not-sent');
  expect(released).toEqual(['g', 'g']);
  expect(client.describe()).toEqual({ held: 0 });
});

// Guards against a memory leak: an entry that stays in the map for each refused request.
test('the slot client does not count a refused request as held', async () => {
  const client = SlotClient.create({
    clock: ManualClock.create(),
    listPartitions: () => ['dc.0'],
    countRunners: () => 1,
    callOwner: () => Promise.resolve(Result.err(Failure.create('deadline-exceeded', 'no slot'))),
  });
  const refused = await client.acquire({ ...request, grantId: 'g' });
  expect(refused.isErr).toEqual(true);
  expect(client.describe()).toEqual({ held: 0 });
});

function createDeferred(): { promise: Promise<unknown>; resolve: (value: unknown) => void } {
  let resolve: (value: unknown) => void = () => undefined;
  const promise = new Promise<unknown>((resolvePromise) => {
    resolve = resolvePromise;
  });
  return { promise, resolve };
}
