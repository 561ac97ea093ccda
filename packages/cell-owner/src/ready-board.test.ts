import { test } from 'node:test';
import { expect } from 'earl';
import { plainStep } from '@acaciahoist/cell-types/plain-step';
import type { CellJob } from '@acaciahoist/cell-types';
import { CellState } from '@acaciahoist/cell-state';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import { ReadyBoard } from './ready-board.js';

function makeJob(id: string, overrides: Partial<CellJob> = {}): CellJob {
  return {
    id,
    queue: { name: 'q', service: 's', priority: 1, maxAttempts: 2, stretch: 2, baseMs: 0 },
    payload: '',
    steps: [
      { ...plainStep, count: 2 },
      { ...plainStep, count: 1, after: [0] },
    ],
    occurrences: 1,
    firstRunMs: 0,
    intervalMs: 0,
    receivedMs: 0,
    ...overrides,
  };
}

function setUp(): {
  board: ReadyBoard;
  apply: (record: CellRecord) => void;
  proposed: Map<string, string>;
  keys: (wallMs: number) => string[];
} {
  const state = CellState.create(1_000);
  const proposed = new Map<string, string>();
  const board = ReadyBoard.create({
    state,
    proposedWorker: (task) => proposed.get(task),
    adviceFor: () => {
      throw new Error('no advice is needed');
    },
  });
  return {
    board,
    proposed,
    apply: (record) => {
      state.apply(record);
      if (record.kind === 'job') board.touch(record.job.id);
      if (record.kind === 'start' || record.kind === 'end') board.touch(record.task.slice(0, 16));
      if (record.kind === 'cancel') board.touch(record.id);
    },
    keys: (wallMs) =>
      board
        .list({ wallMs, monotonicMs: wallMs })
        .map(({ key, waiting }) => `${key}:${waiting.join(',')}`),
  };
}

const ID = '00000000000000aa';

// Guards against a step that is planned before its turn, or never, because a record did not reach it.
test('lists the steps whose turn has come as records are applied', () => {
  const { apply, keys } = setUp();
  apply({ kind: 'job', job: makeJob(ID) });
  expect(keys(0)).toEqual([`${ID}.0.0:0,1`]);
  apply({ kind: 'start', task: `${ID}.0.0.0`, run: 1, worker: 'w0' });
  expect(keys(0)).toEqual([`${ID}.0.0:1`]);
  apply({ kind: 'start', task: `${ID}.0.0.1`, run: 1, worker: 'w0' });
  apply({ kind: 'end', task: `${ID}.0.0.0`, run: 1, how: 'done', saved: '' });
  expect(keys(0)).toEqual([]);
  apply({ kind: 'end', task: `${ID}.0.0.1`, run: 1, how: 'failed', saved: '' });
  expect(keys(0)).toEqual([`${ID}.0.0:1`]);
  apply({ kind: 'start', task: `${ID}.0.0.1`, run: 2, worker: 'w0' });
  apply({ kind: 'end', task: `${ID}.0.0.1`, run: 2, how: 'done', saved: '' });
  expect(keys(0)).toEqual([`${ID}.0.1:0`]);
  apply({ kind: 'cancel', id: ID });
  expect(keys(0)).toEqual([]);
});

// Guards against a start that is decided twice while its record is on its way.
test('leaves out tasks whose start is decided', () => {
  const { apply, board, keys, proposed } = setUp();
  apply({ kind: 'job', job: makeJob(ID) });
  proposed.set(`${ID}.0.0.1`, 'w0');
  expect(keys(0)).toEqual([`${ID}.0.0:0`]);
  proposed.clear();
  board.touch(ID);
  expect(keys(0)).toEqual([`${ID}.0.0:0,1`]);
});

// Guards against a set time that passes unnoticed because no record comes at that moment.
test('lists occurrences when their time has come', () => {
  const { apply, keys } = setUp();
  const steps = [{ ...plainStep, count: 1 }];
  apply({
    kind: 'job',
    job: makeJob(ID, { steps, occurrences: 2, firstRunMs: 1_000, intervalMs: 500 }),
  });
  expect(keys(999)).toEqual([]);
  expect(keys(1_000)).toEqual([`${ID}.0.0:0`]);
  expect(keys(1_600)).toEqual([`${ID}.0.0:0`, `${ID}.1.0:0`]);
});

// Guards against work whose age starts anew, and which others pass, whenever a task of it ends.
test('keeps the time since which a job has waited', () => {
  const { apply, board } = setUp();
  apply({ kind: 'job', job: makeJob(ID) });
  const [first] = board.list({ wallMs: 100, monotonicMs: 40 });
  // The time of day jumps.
  apply({ kind: 'start', task: `${ID}.0.0.0`, run: 1, worker: 'w0' });
  const [later] = board.list({ wallMs: 90_000, monotonicMs: 60 });
  expect(later?.sinceMs).toEqual(first?.sinceMs ?? 0);
});
