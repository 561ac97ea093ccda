import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import type { AppendRequest } from '@acaciahoist/cell-types/append-request';
import type { AppendResult } from '@acaciahoist/cell-types/append-result';
import { Appender } from './appender.js';

const record = Buffer.from('r');

interface Setup {
  appender: Appender;
  clock: ManualClock;
  calls: AppendRequest[];
  fenced: () => number;
}

/** An appender on a store that answers with these results in turn, and then always accepts. */
function create(results: AppendResult[], insists = false): Setup {
  const clock = ManualClock.create();
  const calls: AppendRequest[] = [];
  let fenced = 0;
  const appender = Appender.create({
    clock,
    log: () => undefined,
    topic: 't',
    producer: 'p',
    epoch: 3,
    sequence: 1,
    insists,
    onFenced: () => {
      fenced += 1;
    },
    store: {
      append: (request) => {
        calls.push(request);
        return Promise.resolve(results.shift() ?? { kind: 'appended', offset: calls.length });
      },
    },
  });
  return { appender, clock, calls, fenced: () => fenced };
}

async function settle(clock: ManualClock): Promise<void> {
  for (let round = 0; round < 20; round += 1) {
    clock.advance(20);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

// Guards against a record that is written twice when the answer to the first append is lost.
test('repeats an append of unknown result under its sequence number', async () => {
  const { appender, clock, calls } = create([{ kind: 'unknown', reason: 'lost' }]);
  const outcome = appender.append([record]);
  await settle(clock);
  expect(await outcome).toEqual('appended');
  expect(calls.map((call) => call.producer?.sequence)).toEqual([1, 1]);
});

// Guards against "refused" for a record whose first attempt may have been carried out.
test('a refusal after an unknown result is not a refusal', async () => {
  const { appender, clock, calls } = create([
    { kind: 'unknown', reason: 'lost' },
    { kind: 'refused', reason: 'busy' },
  ]);
  const outcome = appender.append([record]);
  await settle(clock);
  expect(await outcome).toEqual('appended');
  expect(calls.length).toEqual(3);
});

// Guards against a client that waits for a store that has said that nothing was done.
test('hands a plain refusal to the caller and reuses the number', async () => {
  const { appender, clock, calls } = create([{ kind: 'refused', reason: 'busy' }]);
  expect(await appender.append([record])).toEqual('refused');
  expect(await appender.append([record])).toEqual('appended');
  await settle(clock);
  expect(calls.map((call) => call.producer?.sequence)).toEqual([1, 1]);
});

// Guards against records of an owner that are dropped when the store is busy.
test('insists where records must reach the log', async () => {
  const { appender, clock, calls } = create([{ kind: 'refused', reason: 'busy' }], true);
  const outcome = appender.append([record]);
  await settle(clock);
  expect(await outcome).toEqual('appended');
  expect(calls.length).toEqual(2);
});

// Guards against a former owner that goes on writing.
test('stops when a newer epoch has written', async () => {
  const { appender, calls, fenced } = create([{ kind: 'fenced' }], true);
  expect(await appender.append([record])).toEqual('refused');
  expect(await appender.append([record])).toEqual('refused');
  expect([fenced(), calls.length]).toEqual([1, 1]);
});

// Guards against one call to the store for each record under load.
test('sends records that arrive meanwhile in one append, in order', async () => {
  const { appender, clock, calls } = create([]);
  const outcomes = ['a', 'b', 'c'].map((text) => appender.append([Buffer.from(text)]));
  await settle(clock);
  expect(await Promise.all(outcomes)).toEqual(['appended', 'appended', 'appended']);
  const sent = calls.map((call) => Buffer.concat([...call.records]).toString());
  expect(sent.join('')).toEqual('abc');
  expect(calls.length <= 2).toEqual(true);
});
