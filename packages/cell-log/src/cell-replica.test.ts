import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { CellState } from '@acaciahoist/cell-state';
import type { ReadResult } from '@acaciahoist/cell-types/read-result';
import { CellReplica } from './cell-replica.js';
import { SnapshotStore } from './snapshot-store.js';

/** Result of a waiting read that got no records, with its age in ms. */
const createEmptyResult = (ageMs: number): ReadResult => ({
  kind: 'records',
  end: 0,
  first: 0,
  records: [],
  ageMs,
});

/** Creates a replica whose reads are answered by the test. */
function create(
  snapshots: Pick<SnapshotStore, 'read'> = {
    read: () => Promise.resolve(CellState.create(1_000)),
  },
) {
  const clock = ManualClock.create(1_000_000);
  const answers: ((result: ReadResult) => void)[] = [];
  const read = (): Promise<ReadResult> => new Promise((resolve) => answers.push(resolve));
  const replica = CellReplica.create({
    clock,
    store: { read },
    readLog: read,
    snapshots,
    log: () => undefined,
    topic: 'cell',
    retentionMs: 1_000,
    readIntervalMs: () => 0,
    onApplied: () => undefined,
    onReloaded: () => undefined,
  });
  return {
    clock,
    replica,
    answer: async (result: ReadResult) => {
      answers.shift()?.(result);
      await flushCallbacks();
    },
  };
}

async function flushCallbacks(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

// Guards against pending counts from before a suspension of the machine: the monotonic clock stops
// meanwhile, so that the replica looks current when its process resumes.
test('the replica ages while the machine is suspended', async () => {
  const { clock, replica, answer } = create();
  void replica.run();
  await flushCallbacks();
  clock.advance(400);
  await answer(createEmptyResult(0));
  expect(replica.ageMs()).toEqual(0);
  clock.jumpWall(5_000);
  expect(replica.ageMs()).toEqual(5_000);
  replica.stop();
});

// Guards against pending counts that are older than they look: the arrival time of a response
// that was long in transit does not show when the response was true.
test('the replica is as old as the response that it has read', async () => {
  const { clock, replica, answer } = create();
  void replica.run();
  await flushCallbacks();
  clock.advance(700);
  await answer(createEmptyResult(700));
  expect(replica.ageMs()).toEqual(700);
  expect(replica.contactAgeMs()).toEqual(0);
  clock.advance(100);
  expect(replica.ageMs()).toEqual(800);
  replica.stop();
});

// Guards against a replica that looks older after `sync` has brought it up to date.
test('the replica is as old as the request for the end of the log after a sync', async () => {
  const { clock, replica, answer } = create();
  void replica.run();
  await flushCallbacks();
  await answer(createEmptyResult(5_000));
  const synchronization = replica.sync(300);
  // The read that follows the log is still outstanding and was sent before the one of `sync`.
  await answer({ kind: 'failed', reason: 'reset' });
  clock.advance(40);
  await answer(createEmptyResult(40));
  expect(await synchronization).toEqual(true);
  expect(replica.ageMs()).toEqual(40);
  replica.stop();
});

// Guards against a process that never follows the log again because it once read a snapshot that another writer
// damaged, although the owner replaces it.
test('the replica loads the next snapshot after one that cannot be read', async () => {
  let head: Uint8Array | undefined = Buffer.from([0xc1]);
  const snapshots = SnapshotStore.create({
    topic: 'keyed.cell',
    log: () => undefined,
    store: {
      readNewest: () => Promise.resolve({ end: 1, records: [{ key: 'head', value: head }] }),
      encodeKeyed: () => Buffer.alloc(0),
    },
  });
  const { clock, replica } = create(snapshots);
  let hasEnded = false;
  void replica.run().finally(() => (hasEnded = true));
  await flushCallbacks();
  expect([replica.isLoaded, hasEnded]).toEqual([false, false]);
  head = undefined;
  clock.advance(200);
  await flushCallbacks();
  expect([replica.isLoaded, hasEnded]).toEqual([true, false]);
  replica.stop();
});
