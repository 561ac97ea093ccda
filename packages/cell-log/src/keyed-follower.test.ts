import { setImmediate } from 'node:timers/promises';
import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import type { KeyedRecord } from '@acaciahoist/cell-types/keyed-record';
import { KeyedFollower } from './keyed-follower.js';

const READ_INTERVAL_MS = 100;
const RELOAD_INTERVAL_MS = 1_000;

/** Follows a topic with callbacks that throw for the key `odd` and at the first report of all keys. */
function follow(initial: readonly string[]) {
  const clock = ManualClock.create();
  const written = [...initial];
  const keys: string[] = [];
  const lines: string[] = [];
  let reloadCount = 0;
  const toRecord = (key: string): KeyedRecord => ({ key, value: Buffer.from('value') });
  const follower = KeyedFollower.create({
    clock,
    log: (_level, event, fields) => lines.push(`${event} ${String(fields?.key)}`),
    topic: 'topic',
    waitMs: 0,
    readIntervalMs: () => READ_INTERVAL_MS,
    reloadIntervalMs: () => RELOAD_INTERVAL_MS,
    store: {
      readNewest: () =>
        Promise.resolve({ records: [...new Set(written)].map(toRecord), end: written.length }),
      read: (_topic, from) =>
        Promise.resolve({
          kind: 'records',
          end: written.length,
          first: 0,
          records: written.slice(from).map((key) => Buffer.from(key)),
          ageMs: 0,
        }),
      decodeKeyed: (data) => {
        const key = Buffer.from(data).toString();
        if (key === 'undecodable') throw new Error('cannot be decoded');
        if (key === 'unreadable') return undefined;
        return toRecord(key);
      },
    },
    onRecord: ({ key }) => {
      if (key === 'odd') throw new Error('cannot be processed');
      keys.push(key);
    },
    onReloaded: () => {
      reloadCount += 1;
      if (reloadCount === 1) throw new Error('cannot be processed');
    },
  });
  void follower.run();
  const advance = async (ms: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += READ_INTERVAL_MS) {
      await setImmediate();
      clock.advance(READ_INTERVAL_MS);
    }
    await setImmediate();
  };
  return { written, keys, lines, advance, countReloads: () => reloadCount };
}

// Guards against records that are skipped for good because the callback for a record before them throws.
test('the keyed follower passes on all other records of a reload and of a read when a callback throws', async () => {
  const { written, keys, advance, countReloads } = follow(['a', 'odd', 'b']);
  await advance(READ_INTERVAL_MS);
  expect(keys).toEqual(['a', 'b']);
  written.push('c', 'odd', 'undecodable', 'd');
  await advance(2 * READ_INTERVAL_MS);
  expect(keys).toEqual(['a', 'b', 'c', 'd']);
  expect(countReloads()).toEqual(1);
  await advance(RELOAD_INTERVAL_MS);
  expect(countReloads()).toEqual(2);
});

// Guards against a record that fills the log, because it is read again with each reload.
test('the keyed follower logs a record whose callback throws at most once a minute', async () => {
  const { lines, advance } = follow(['a', 'odd', 'b']);
  await advance(50_000);
  expect(lines.filter((line) => line === 'record-not-processed odd').length).toEqual(1);
  await advance(70_000);
  expect(lines.filter((line) => line === 'record-not-processed odd').length).toEqual(2);
});

// Guards against a flood of unreadable records that displaces all other lines of the log.
test('the keyed follower logs a flood of unreadable records with one line a minute', async () => {
  const { written, keys, lines, advance } = follow(['a']);
  await advance(READ_INTERVAL_MS);
  for (let index = 0; index < 500; index += 1) written.push('unreadable');
  written.push('b');
  await advance(2 * READ_INTERVAL_MS);
  expect(keys).toEqual(['a', 'b']);
  expect(lines.filter((line) => line.startsWith('record-unreadable')).length).toEqual(1);
});
