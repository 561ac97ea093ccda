import { setImmediate } from 'node:timers/promises';
import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import type { KeyedRecord } from '@acaciahoist/cell-types/keyed-record';
import type { WorkerEntry } from '@acaciahoist/cell-types/worker-entry';
import { WorkerDirectory } from './worker-directory.js';

const goodEntry: WorkerEntry = {
  id: '',
  born: 1,
  service: 's',
  address: '10.0.0.1:80',
  dataCentre: 'a',
  draining: false,
  leavesInMs: 0,
  millicores: 1_000,
  memoryMib: 1_000,
  accelerators: 0,
  rack: '',
  labels: [],
};
/** Longer than any bound on the stack: a recursive reader of the entry would overflow it. */
const NESTING_LEVELS = 100_000;
const nested = '['.repeat(NESTING_LEVELS) + ']'.repeat(NESTING_LEVELS);
const good = (id: string): [string, string] => [id, JSON.stringify({ ...goodEntry, id })];

/** Good entries before, between and after entries for which the decoder or the listener throws. */
const mixedEntries: [string, string][] = [
  good('w0'),
  ['odd-text', 'not JSON'],
  good('w1'),
  ['odd-address', JSON.stringify({ ...goodEntry, id: 'odd-address', address: '10.0.0.1:99999' })],
  good('w2'),
  ['odd-nested', nested],
  ['odd-nested-text', nested.slice(1)],
  ['odd-nested-field', JSON.stringify({ ...goodEntry, id: 'odd-address' }).replace('[]', nested)],
  good('w3'),
];
const goodIds = ['w0', 'w1', 'w2', 'w3'];

/** Creates a directory on an in-memory store; its decoder throws for text that is not JSON. */
function create() {
  const clock = ManualClock.create();
  const lines: string[] = [];
  const written: KeyedRecord[] = [];
  const directory = WorkerDirectory.create({
    clock,
    log: (level, event, fields = {}) => {
      lines.push(`${level} ${event} ${JSON.stringify(fields)}`);
    },
    store: {
      readNewest: () => {
        const newest = new Map(written.map((record) => [record.key, record]));
        const records = [...newest.values()].filter(({ value }) => value !== undefined);
        return Promise.resolve({ records, end: written.length });
      },
      read: (_topic, from) =>
        Promise.resolve({
          kind: 'records',
          end: written.length,
          first: 0,
          records: written.slice(from).map((_record, index) => Buffer.from([from + index])),
          ageMs: 0,
        }),
      decodeKeyed: (data) => written[data[0] ?? 0],
    },
    topic: 'workers',
    decode: (_id, data) => {
      const fields = JSON.parse(Buffer.from(data).toString()) as unknown;
      return Array.isArray(fields) ? undefined : (fields as WorkerEntry);
    },
  });
  const advance = async (ms: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
      clock.advance(50);
      await setImmediate();
    }
  };
  const write = (entries: readonly (readonly [string, string | undefined])[]): void => {
    for (const [key, text] of entries)
      written.push({ key, value: text === undefined ? undefined : Buffer.from(text) });
  };
  return { directory, lines, advance, write };
}

/** Creates a listener like that of an owner: it throws for an address to which no client can connect. */
function createListener() {
  const entries: string[] = [];
  const reloads: ReadonlySet<string>[] = [];
  const removed: string[] = [];
  const unreadable: string[] = [];
  return {
    entries,
    reloads,
    removed,
    unreadable,
    onEntry: (entry: WorkerEntry): void => {
      new URL(`http://${entry.address}`);
      if (goodIds.includes(entry.id)) entries.push(entry.id);
    },
    onUnreadable: (id: string): void => {
      unreadable.push(id);
    },
    onRemoved: (id: string): void => {
      removed.push(id);
    },
    onReloaded: (ids: ReadonlySet<string>): void => {
      reloads.push(ids);
    },
  };
}

// Guards against an owner that never knows the workers whose entries come after an odd one in the list, and
// to which no list is reported, so that it does not notice removed entries.
test('the worker directory reports all readable entries and the list when a reload contains odd entries', async () => {
  const { directory, advance, write } = create();
  write(mixedEntries);
  const listener = createListener();
  directory.attach(listener);
  await advance(200);
  expect(listener.entries).toEqual(goodIds);
  expect(listener.reloads.map((ids) => [...ids])).toEqual([mixedEntries.map(([id]) => id)]);
  await advance(3_000);
  expect(listener.entries).toEqual([...goodIds, ...goodIds]);
  expect(listener.reloads.length).toEqual(2);
});

// Guards against the loss of the records that were read together with an odd one and come after it: the
// drain, the new incarnation or the removal of a worker.
test('the worker directory reports all records of a read that contains odd entries', async () => {
  const { directory, advance, write } = create();
  write([good('gone')]);
  const listener = createListener();
  directory.attach(listener);
  await advance(300);
  write([...mixedEntries, ['gone', undefined]]);
  await advance(600);
  expect(listener.entries).toEqual(goodIds);
  expect(listener.removed).toEqual(['gone']);
});

// Guards against a new owner whose start fails at an odd entry that it has read as a standby, so that no
// process can own the cell while the entry is there.
test('the worker directory passes all readable entries to a new owner when it has read odd ones', async () => {
  const { directory, advance, write } = create();
  write(mixedEntries);
  directory.startFollowing();
  await advance(300);
  const listener = createListener();
  directory.attach(listener);
  expect(listener.entries).toEqual(goodIds);
});

// Guards against an odd entry that fills the log, as all entries are read again every few seconds.
test('the worker directory logs an odd entry once, however often it is read', async () => {
  const { directory, lines, advance, write } = create();
  write(mixedEntries);
  directory.startFollowing();
  await advance(300);
  directory.attach(createListener());
  await advance(50_000);
  for (const [id] of mixedEntries.filter(([key]) => key.startsWith('odd')))
    expect(lines.filter((line) => line.includes(`"worker":"${id}"`)).length).toEqual(
      id === 'odd-nested-field' ? 0 : 1,
    );
  expect(lines.length).toEqual(4);
});

// Guards against starts on a worker by an entry that has been overwritten, and against a new owner that does
// not know the worker and gives up what runs there.
test('the worker directory keeps a worker whose entry becomes unreadable and reports it as such', async () => {
  const { directory, advance, write } = create();
  write([good('w0'), good('w1')]);
  const listener = createListener();
  directory.attach(listener);
  await advance(300);
  write([['w0', 'not JSON']]);
  await advance(300);
  expect([listener.entries, listener.unreadable]).toEqual([['w0', 'w1'], ['w0']]);
  const successor = createListener();
  directory.attach(successor);
  expect([successor.entries, successor.unreadable]).toEqual([['w0', 'w1'], ['w0']]);
  write([good('w0')]);
  await advance(600);
  const last = createListener();
  directory.attach(last);
  expect([last.entries, last.unreadable]).toEqual([['w0', 'w1'], []]);
});
