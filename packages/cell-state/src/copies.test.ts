import { test } from 'node:test';
import { expect } from 'earl';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import { plainStep } from '@acaciahoist/cell-types/plain-step';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { CellState } from './cell-state.js';
import { recordCodec } from './record-codec.js';
import { snapshotCodec } from './snapshot-codec.js';

const id = '00000000000000aa';
const task = `${id}.0.0.0`;
const queue = { name: 'q', service: 's', priority: 1, maxAttempts: 2, stretch: 2, baseMs: 0 };
const step = { ...plainStep, speculative: true };
const job = {
  ...{ id, queue, payload: '', steps: [step], occurrences: 1 },
  ...{ firstRunMs: 0, intervalMs: 0, receivedMs: 0 },
};

const accept: CellRecord = { kind: 'job', job };
const start = (run: number, worker: string): CellRecord => ({ kind: 'start', task, run, worker });
const copy = (run: number, worker: string): CellRecord => ({ kind: 'copy', task, run, worker });
const end = (run: number, how: RunEnd, copyRun?: number): CellRecord => ({
  ...{ kind: 'end', task, run, how, saved: '' },
  ...(copyRun === undefined ? {} : { copy: copyRun }),
});

/** Applies records as the log has them to a state, which a snapshot replaces after each of them. */
function applyAll(records: readonly CellRecord[]): { state: CellState; effects: boolean[] } {
  let state = CellState.create(1_000);
  const effects = records.map((record) => {
    const decoded = recordCodec.decode(recordCodec.encode(record));
    if (decoded === undefined) throw new Error('the record cannot be decoded');
    const isEffective = state.apply(decoded);
    state = snapshotCodec.decode(snapshotCodec.encode(state), 1_000);
    return isEffective;
  });
  return { state, effects };
}

/** Returns the records as processes of earlier versions understand them. */
function asEarlierVersions(records: readonly CellRecord[]): CellRecord[] {
  return records.flatMap((record): CellRecord[] => {
    if (record.kind === 'copy') return [];
    if (record.kind !== 'end') return [record];
    const { kind, task: ended, run, how, saved } = record;
    return [{ kind, task: ended, run, how, saved }];
  });
}

/** Records of a job with a copy, the state of the job after them, and the second run that goes on, if any. */
const cases: Record<string, { records: CellRecord[]; outcome: string; second?: number }> = {
  'the copy goes on': {
    records: [accept, start(1, 'a'), copy(2, 'b')],
    outcome: 'queued',
    second: 2,
  },
  'the copy is done and the first run goes on': {
    records: [accept, start(1, 'a'), copy(2, 'b'), end(1, RunEnd.done, 2)],
    outcome: 'completed',
    second: 1,
  },
  'the copy is done and the first run has been stopped': {
    records: [
      ...[accept, start(1, 'a'), copy(2, 'b')],
      ...[end(1, RunEnd.done, 2), end(1, RunEnd.stopped)],
    ],
    outcome: 'completed',
  },
  'the first run is done and the copy goes on': {
    records: [accept, start(1, 'a'), copy(2, 'b'), end(1, RunEnd.done)],
    outcome: 'completed',
    second: 2,
  },
  'both runs are done': {
    records: [accept, start(1, 'a'), copy(2, 'b'), end(1, RunEnd.done), end(1, RunEnd.done, 2)],
    outcome: 'completed',
  },
  'the first run is lost and the copy takes its place': {
    records: [accept, start(1, 'a'), copy(2, 'b'), end(1, RunEnd.lost), start(2, 'b')],
    outcome: 'queued',
  },
  'the first run is lost and the copy is done': {
    records: [
      ...[accept, start(1, 'a'), copy(2, 'b')],
      ...[end(1, RunEnd.lost), start(2, 'b'), end(2, RunEnd.done)],
    ],
    outcome: 'completed',
  },
  'the first run is done, and then the copy as if it had taken its place': {
    records: [
      ...[accept, start(1, 'a'), copy(2, 'b')],
      ...[end(1, RunEnd.done), start(2, 'b'), end(2, RunEnd.done)],
    ],
    outcome: 'completed',
  },
  'the copy is lost': {
    records: [accept, start(1, 'a'), copy(2, 'b'), end(2, RunEnd.lost)],
    outcome: 'queued',
  },
  'the job is cancelled while both runs go on': {
    records: [accept, start(1, 'a'), copy(2, 'b'), { kind: 'cancel', id }],
    outcome: 'cancelled',
    second: 2,
  },
  'the job is cancelled and the copy has ended': {
    records: [accept, start(1, 'a'), copy(2, 'b'), { kind: 'cancel', id }, end(2, RunEnd.stopped)],
    outcome: 'cancelled',
  },
  'the copy is done after the job was cancelled': {
    records: [
      ...[accept, start(1, 'a'), copy(2, 'b')],
      ...[{ kind: 'cancel', id } as const, end(2, RunEnd.done)],
    ],
    outcome: 'cancelled',
  },
};

for (const [name, { records, outcome, second }] of Object.entries(cases)) {
  // Guards against a successor that does not know a run which uses capacity, and against a job whose state depends on
  // the version of the process that answers.
  test(`the state knows the second run of a task, and its job is ${outcome}, when ${name}`, () => {
    const { state } = applyAll(records);
    expect<string | undefined>(state.jobStateOf(id)).toEqual(outcome);
    expect(state.copies.get(task)?.run).toEqual(second);
    const earlier = applyAll(asEarlierVersions(records)).state;
    const isDone = (candidate: CellState): boolean => candidate.ended.has(id);
    expect(isDone(earlier)).toEqual(isDone(state));
    expect(earlier.findTask(task)?.task.phase).toEqual(state.findTask(task)?.task.phase);
  });
}

// Guards against a second run of work that must not run twice, and against a third run.
test('the state ignores a copy of a task that may have none', () => {
  const isCopied = (changes: Partial<typeof step>, records: readonly CellRecord[]): boolean => {
    const changed = { ...job, steps: [{ ...step, ...changes }] };
    return applyAll([{ kind: 'job', job: changed }, ...records]).effects.at(-1) ?? false;
  };
  expect(isCopied({}, [start(1, 'a'), copy(2, 'b')])).toEqual(true);
  expect(isCopied({ speculative: false }, [start(1, 'a'), copy(2, 'b')])).toEqual(false);
  expect(isCopied({ gang: true }, [start(1, 'a'), copy(2, 'b')])).toEqual(false);
  expect(isCopied({ longRunning: true }, [start(1, 'a'), copy(2, 'b')])).toEqual(false);
  expect(isCopied({}, [start(1, 'a'), copy(2, 'a')])).toEqual(false);
  expect(isCopied({}, [start(1, 'a'), copy(1, 'b')])).toEqual(false);
  expect(isCopied({}, [copy(1, 'b')])).toEqual(false);
  expect(isCopied({}, [start(1, 'a'), end(1, RunEnd.lost), copy(2, 'b')])).toEqual(false);
  expect(isCopied({}, [start(1, 'a'), copy(2, 'b'), copy(3, 'c')])).toEqual(false);
  const copyEnded = [start(1, 'a'), copy(3, 'b'), end(3, RunEnd.lost)];
  expect(isCopied({}, [...copyEnded, copy(3, 'b')])).toEqual(false);
  expect(isCopied({}, [...copyEnded, copy(4, 'b')])).toEqual(true);
});

// Guards against attempts beyond those that the queue allows.
test('the state counts the failures of both runs as attempts of the task', () => {
  const records = [accept, start(1, 'a'), copy(2, 'b')];
  expect(applyAll([...records, end(2, RunEnd.failed)]).state.jobStateOf(id)).toEqual('running');
  const both = [...records, end(2, RunEnd.failed), end(1, RunEnd.failed)];
  expect(applyAll(both).state.jobStateOf(id)).toEqual('failed');
});

// Guards against a run that is attributed to another incarnation of its worker when the copy takes the place of the first.
test('the state keeps the incarnation of the worker of a copy', () => {
  const { state } = applyAll([
    ...[accept, { kind: 'life', worker: 'b', born: 10 } as const, start(1, 'a'), copy(2, 'b')],
    ...[{ kind: 'life', worker: 'b', born: 20 } as const, end(1, RunEnd.lost), start(2, 'b')],
  ]);
  expect(state.findTask(task)?.task.born).toEqual(10);
  expect(state.copies.size).toEqual(0);
});
