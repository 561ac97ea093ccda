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
  const events: string[] = [];
  const read = (): Promise<ReadResult> => new Promise((resolve) => answers.push(resolve));
  const replica = CellReplica.create({
    clock,
    store: { read },
    readLog: read,
    snapshots,
    log: (_level, event) => events.push(event),
    topic: 'cell',
    retentionMs: 1_000,
    readIntervalMs: () => 0,
    onApplied: () => undefined,
    onReloaded: () => undefined,
  });
  return {
    clock,
    replica,
    events,
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

/**
 * Plays a replica whose snapshot ends at offset 5 while the log retains records from offset 10 on. Every
 * 100 ms until `durationMs` have passed, `play` sets the offset of the newest snapshot and the end of the log.
 */
async function playExpiredLog(
  durationMs: number,
  play: (atMs: number) => { snapshot: number; end: number },
) {
  let newest = play(0);
  const clock = ManualClock.create(1_000_000);
  const events: string[] = [];
  const read = (_topic: string, from: number, waitMs: number): Promise<ReadResult> => {
    if (from < 10) return Promise.resolve({ kind: 'expired', first: 10 });
    const result: ReadResult = {
      kind: 'records',
      end: newest.end,
      first: 10,
      records: Array.from({ length: Math.max(0, newest.end - from) }, () => Buffer.from('x')),
      ageMs: 0,
    };
    return new Promise((resolve) =>
      clock.after(waitMs, () => {
        resolve(result);
      }),
    );
  };
  const replica = CellReplica.create({
    clock,
    store: { read },
    readLog: read,
    snapshots: {
      read: () => {
        const state = CellState.create(1_000);
        state.nextOffset = newest.snapshot;
        return Promise.resolve(state);
      },
    },
    log: (_level, event) => events.push(event),
    topic: 'cell',
    retentionMs: 1_000,
    readIntervalMs: () => 80,
    onApplied: () => undefined,
    onReloaded: () => undefined,
  });
  void replica.run();
  /** Times at which the replica was loaded and had reached the end of the log recently. */
  const servedAtMs: number[] = [];
  for (let atMs = 0; atMs < durationMs; atMs += 100) {
    newest = play(atMs);
    await flushCallbacks();
    clock.advance(100);
    await flushCallbacks();
    if (replica.isLoaded && replica.contactAgeMs() < 1_000) servedAtMs.push(atMs);
  }
  replica.stop();
  return {
    events,
    firstServedAtMs: servedAtMs[0] ?? Number.POSITIVE_INFINITY,
    nextOffset: replica.state.nextOffset,
  };
}

// Guards against "no such job" for accepted jobs, for good: a process that starts just after the store has
// dropped old records read a snapshot before them and went on without them, while the owner was about to write
// a snapshot that has them.
test('the replica waits for a snapshot that reaches the first retained record while the log grows', async () => {
  const { events, firstServedAtMs, nextOffset } = await playExpiredLog(8_000, (atMs) => ({
    snapshot: atMs < 4_000 ? 5 : 20,
    end: 12 + Math.floor(atMs / 250),
  }));
  expect(events).not.toInclude('records-lost');
  expect(firstServedAtMs).toBeGreaterThanOrEqual(4_000);
  expect(firstServedAtMs).toBeLessThan(5_000);
  expect(nextOffset).toBeGreaterThan(20);
});

// Guards against a cell that stays without an owner because all processes wait for a snapshot that none writes.
test('the replica goes on without expired records and logs it when the log has not grown for 3 s', async () => {
  const { events, firstServedAtMs } = await playExpiredLog(6_000, () => ({ snapshot: 5, end: 10 }));
  expect(events).toInclude('records-lost');
  expect(firstServedAtMs).toBeGreaterThanOrEqual(2_500);
  expect(firstServedAtMs).toBeLessThan(4_000);
});

// Guards against a process that waits forever for a snapshot that the owner fails to write.
test('the replica goes on without expired records and logs it when no snapshot has them for 10 s', async () => {
  const { events, firstServedAtMs } = await playExpiredLog(13_000, (atMs) => ({
    snapshot: 5,
    end: 12 + Math.floor(atMs / 250),
  }));
  expect(events).toInclude('records-lost');
  expect(firstServedAtMs).toBeGreaterThanOrEqual(9_500);
  expect(firstServedAtMs).toBeLessThan(11_500);
});

// Guards against a flood of unreadable records that displaces all other lines of the log.
test('the replica logs a flood of unreadable records with one line a minute', async () => {
  const { replica, answer, events } = create();
  void replica.run();
  await flushCallbacks();
  const records = Array.from({ length: 500 }, () => Buffer.from('unreadable'));
  await answer({ kind: 'records', end: records.length, first: 0, records, ageMs: 0 });
  expect(replica.state.nextOffset).toEqual(records.length);
  expect(events.filter((event) => event === 'record-unreadable').length).toEqual(1);
  replica.stop();
});
