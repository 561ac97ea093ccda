import { test } from 'node:test';
import { expect } from 'earl';
import { Instant } from '@acaciahoist/clock/instant';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { CellState } from '@acaciahoist/cell-state';
import { recordCodec } from '@acaciahoist/cell-state/record-codec';
import { SnapshotStore } from '@acaciahoist/cell-log/snapshot-store';
import type { AppendRequest } from '@acaciahoist/cell-types/append-request';
import { OwnerWriter } from './owner-writer.js';

// Guards against an owner that was suspended for longer than its lease lasts and goes on to extend the
// leases of workers that its successor cannot reach. The monotonic clock does not count a suspension.
test('the owner writer counts the time of a suspension in the age of the newest acknowledged append', async () => {
  const clock = ManualClock.create(1_000_000);
  let suspendedMs = 0;
  const suspendable = {
    monotonicMs: () => clock.monotonicMs(),
    wallMs: () => clock.wallMs() + suspendedMs,
    after: (delayMs: number, run: () => void) => clock.after(delayMs, run),
  };
  const store = {
    append: () => Promise.resolve({ kind: 'appended' as const, offset: 0 }),
    readNewest: () => Promise.resolve(undefined),
    encodeKeyed: () => Buffer.alloc(0),
  };
  const writer = OwnerWriter.create({
    clock: suspendable,
    store,
    log: () => undefined,
    topics: { cell: 'cell', snapshots: 'keyed.cell', hints: 'keyed.owner' },
    token: 1,
    claimSentAt: Instant.create(suspendable),
    snapshots: SnapshotStore.create({ store, topic: 'keyed.cell', log: () => undefined }),
    state: () => CellState.create(1_000),
    loopDelayMs: () => 0,
    onFenced: () => undefined,
    onAppended: () => undefined,
  });
  const appended = writer.append([{ kind: 'renew', wallMs: 0 }]);
  clock.advance(50);
  await appended;
  expect(writer.lastAppendAgeMs()).toBeLessThan(100);
  suspendedMs = 9_000;
  expect(writer.lastAppendAgeMs()).toBeGreaterThanOrEqual(9_000);
  const renewed = writer.append([{ kind: 'renew', wallMs: 0 }]);
  clock.advance(50);
  await renewed;
  expect(writer.lastAppendAgeMs()).toBeLessThan(100);
});

// Guards against a time of the cell that advances faster than true time: it is the sum over many owners, whose
// times would each be up to 1 ms too long.
test('the owner writer rounds the time of its term down', async () => {
  const clock = ManualClock.create(1_000_000);
  const records: Uint8Array[] = [];
  const store = {
    append: (request: AppendRequest) => {
      records.push(...request.records);
      return Promise.resolve({ kind: 'appended' as const, offset: 0 });
    },
    readNewest: () => Promise.resolve(undefined),
    encodeKeyed: () => Buffer.alloc(0),
  };
  const writer = OwnerWriter.create({
    clock,
    store,
    log: () => undefined,
    topics: { cell: 'cell', snapshots: 'keyed.cell', hints: 'keyed.owner' },
    token: 1,
    claimSentAt: Instant.create(clock),
    snapshots: SnapshotStore.create({ store, topic: 'keyed.cell', log: () => undefined }),
    state: () => CellState.create(1_000),
    loopDelayMs: () => 0,
    onFenced: () => undefined,
    onAppended: () => undefined,
  });
  clock.advance(0.9);
  writer.start();
  clock.advance(300);
  await Promise.resolve();
  const renewal = recordCodec.decode(records[0] ?? new Uint8Array());
  expect(renewal?.kind === 'renew' && renewal.termMs).toEqual(250);
  writer.stop();
});

// Guards against an owner that writes no more snapshots after one that could not be encoded: processes that start
// later lack the records that the log no longer has.
test('the owner writer writes the next snapshot after one that failed with an error', async () => {
  const clock = ManualClock.create(1_000_000);
  const store = {
    append: () => Promise.resolve({ kind: 'appended' as const, offset: 0 }),
    readNewest: () => Promise.resolve(undefined),
    encodeKeyed: () => Buffer.alloc(0),
  };
  const snapshots = SnapshotStore.create({ store, topic: 'keyed.cell', log: () => undefined });
  let attempts = 0;
  snapshots.write = () => {
    attempts += 1;
    return Promise.reject(new RangeError('Maximum call stack size exceeded'));
  };
  const events: string[] = [];
  const writer = OwnerWriter.create({
    clock,
    store,
    log: (_level, event) => events.push(event),
    topics: { cell: 'cell', snapshots: 'keyed.cell', hints: 'keyed.owner' },
    token: 1,
    claimSentAt: Instant.create(clock),
    snapshots,
    state: () => CellState.create(1_000),
    loopDelayMs: () => 0,
    onFenced: () => undefined,
    onAppended: () => undefined,
  });
  writer.start();
  for (let elapsedMs = 0; elapsedMs < 13_000; elapsedMs += 100) {
    clock.advance(100);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  writer.stop();
  expect(attempts).toEqual(4);
  expect(events.filter((event) => event === 'snapshot-not-written').length).toEqual(4);
});
