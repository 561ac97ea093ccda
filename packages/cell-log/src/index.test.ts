import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { CellState } from '@acaciahoist/cell-state';
import type { ReadResult } from '@acaciahoist/cell-types/read-result';
import { CellReplica } from './index.js';

const quiet: ReadResult = { kind: 'records', end: 0, first: 0, records: [] };

/** A replica whose reads are answered by the test. */
function create() {
  const clock = ManualClock.create(1_000_000);
  const answers: ((result: ReadResult) => void)[] = [];
  const read = (): Promise<ReadResult> => new Promise((resolve) => answers.push(resolve));
  const replica = CellReplica.create({
    clock,
    store: { read },
    follow: read,
    snapshots: { read: () => Promise.resolve(CellState.create(1_000)) },
    log: () => undefined,
    topic: 'cell',
    retentionMs: 1_000,
    gapMs: () => 0,
    onApplied: () => undefined,
    onReloaded: () => undefined,
  });
  return {
    clock,
    replica,
    answer: async (result: ReadResult) => {
      answers.shift()?.(result);
      await settle();
    },
  };
}

async function settle(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

// Guards against counts of waiting jobs from before a suspension of the machine: the steady clock stood
// still, so that the replica looked young when its process went on.
test('ages while the machine is suspended', async () => {
  const { clock, replica, answer } = create();
  void replica.run();
  await settle();
  clock.advance(400);
  await answer(quiet);
  expect(replica.ageMs()).toEqual(0);
  clock.jumpWall(5_000);
  expect(replica.ageMs()).toEqual(5_000);
  replica.stop();
});
