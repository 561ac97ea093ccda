import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { Packr } from 'msgpackr';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { CellJob } from '@acaciahoist/cell-types';
import type { CellStep } from '@acaciahoist/cell-types/cell-step';
import { plainStep } from '@acaciahoist/cell-types/plain-step';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { CellState } from './index.js';
import type { JobProgress } from './job-progress.js';
import { recordCodec } from './record-codec.js';
import { recordStructures } from './record-structures.js';
import { snapshotCodec } from './snapshot-codec.js';

const id = '00000000000000aa';

function job(step: Partial<CellStep> = {}, maxAttempts = 2): CellJob {
  return {
    id,
    queue: { name: 'q', service: 's', priority: 0, maxAttempts, stretch: 1, baseMs: 0 },
    payload: 'x',
    steps: [{ ...plainStep, count: 2, ...step }],
    occurrences: 1,
    firstRunMs: 0,
    intervalMs: 0,
    receivedMs: 0,
  };
}

const start = (index: number, run = 1) =>
  ({ kind: 'start', task: `${id}.0.0.${index}`, run, worker: 'w' }) as const;
const end = (index: number, how: RunEnd, run = 1, saved = '') =>
  ({ kind: 'end', task: `${id}.0.0.${index}`, run, how, saved }) as const;

// Guards against a job that is accepted twice when clients repeat it, also after its end.
test('a repeated job stays one job', () => {
  const state = CellState.create(1_000);
  expect(state.apply({ kind: 'job', job: job() })).toEqual(true);
  expect(state.apply({ kind: 'job', job: job() })).toEqual(false);
  state.apply({ kind: 'cancel', id });
  expect(state.apply({ kind: 'job', job: job() })).toEqual(false);
  expect(state.outcomeOf(id)).toEqual('cancelled');
});

// Guards against starts of what was cancelled, runs already, or has a higher run.
test('late starts and ends have no effect', () => {
  const state = CellState.create(1_000);
  state.apply({ kind: 'job', job: job() });
  expect(state.apply(start(0))).toEqual(true);
  expect(state.apply(start(0, 2))).toEqual(false);
  expect(state.apply(end(0, RunEnd.done, 2))).toEqual(false);
  expect(state.apply(end(0, RunEnd.lost))).toEqual(true);
  expect(state.apply(start(0, 1))).toEqual(false);
  expect(state.apply(start(0, 2))).toEqual(true);
  state.apply({ kind: 'cancel', id });
  expect(state.apply(start(1))).toEqual(false);
});

// Guards against a job that is shown as running, and not counted as waiting, because the decision to
// start it was recorded: the start may never be carried out.
test('a job waits until a start is known to be carried out', () => {
  const state = CellState.create(1_000);
  state.apply({ kind: 'job', job: job() });
  state.apply(start(0));
  state.apply(end(0, RunEnd.lost));
  expect(state.pendingOf('q')).toEqual(1);
  expect(state.outcomeOf(id)).toEqual('queued');
});

// Guards against a run that is taken for one on another life of its worker.
test('a placement keeps the life of the worker that was newest when it was recorded', () => {
  const state = CellState.create(1_000);
  state.apply({ kind: 'job', job: job() });
  state.apply({ kind: 'life', worker: 'w', born: 10 });
  state.apply(start(0));
  expect(state.apply({ kind: 'life', worker: 'w', born: 20 })).toEqual(true);
  expect(state.apply({ kind: 'life', worker: 'w', born: 20 })).toEqual(false);
  state.apply(start(1));
  const restored = snapshotCodec.decode(snapshotCodec.encode(state), 1_000);
  for (const { lives, jobs } of [state, restored]) {
    const tasks = jobs.get(id)?.occurrences[0]?.[0]?.tasks;
    expect(tasks?.map(({ born }) => born)).toEqual([10, 20]);
    expect(lives.get('w')).toEqual(20);
  }
});

// Guards against an upgrade that keeps counting recorded starts as beginnings, or takes runs of which the
// life is not known for runs on some life.
test('reads a snapshot of a version that did not record beginnings and lives', () => {
  const state = CellState.create(1_000);
  state.apply({ kind: 'job', job: job() });
  state.apply({ kind: 'life', worker: 'w', born: 10 });
  state.apply(start(0));
  const packr = new Packr({ useRecords: true, mapsAsObjects: true });
  const content = packr.unpack(snapshotCodec.encode(state)) as Record<string, unknown>;
  const [progress] = content.jobs as JobProgress[];
  if (progress === undefined) throw new Error('the snapshot holds no job');
  delete content.lives;
  progress.begun = true;
  for (const task of progress.occurrences[0]?.[0]?.tasks ?? [])
    delete (task as Partial<typeof task>).born;
  const restored = snapshotCodec.decode(packr.pack(content), 1_000);
  expect(restored.pendingOf('q')).toEqual(1);
  expect(restored.outcomeOf(id)).toEqual('queued');
  expect(restored.taskOf(`${id}.0.0.0`)?.task.born).toEqual(0);
});

// Guards against attempts that are counted for ends which are not failures.
test('only failed runs count as attempts', () => {
  const state = CellState.create(1_000);
  state.apply({ kind: 'job', job: job() });
  for (const [run, how] of [RunEnd.stopped, RunEnd.lost, RunEnd.lapsed, RunEnd.broken].entries()) {
    state.apply(start(0, run + 1));
    state.apply(end(0, how, run + 1));
  }
  expect(state.outcomeOf(id)).toEqual('running');
  state.apply(start(0, 5));
  state.apply(end(0, RunEnd.failed, 5));
  state.apply(start(0, 6));
  state.apply(end(0, RunEnd.failed, 6));
  expect(state.outcomeOf(id)).toEqual('failed');
});

// Guards against a gang whose one failure is counted once for each member.
test('a gang fails once a run and is done with one member', () => {
  const state = CellState.create(1_000);
  state.apply({ kind: 'job', job: job({ gang: true }) });
  state.apply(start(0));
  state.apply(start(1));
  state.apply(end(0, RunEnd.failed));
  state.apply(end(1, RunEnd.failed));
  expect(state.outcomeOf(id)).toEqual('running');
  state.apply(start(0, 2));
  state.apply(start(1, 2));
  state.apply(end(1, RunEnd.done, 2));
  expect(state.outcomeOf(id)).toEqual('completed');
});

// Guards against room of an ended job that is given away while its runs are still being stopped.
test('runs of an ended job are known until they end', () => {
  const state = CellState.create(1_000);
  state.apply({ kind: 'job', job: job() });
  state.apply(start(0));
  state.apply({ kind: 'cancel', id });
  expect(state.placementOf(`${id}.0.0.0`)?.worker).toEqual('w');
  expect(state.apply(end(0, RunEnd.stopped))).toEqual(true);
  expect(state.placementOf(`${id}.0.0.0`)).toEqual(undefined);
});

// Guards against two owners with one token, and against a claim that takes the cell back.
test('of two claims with one token the first counts', () => {
  const state = CellState.create(1_000);
  const claim = (owner: string, token: number) =>
    ({ kind: 'claim', owner, address: owner, token, wallMs: 0 }) as const;
  expect(state.apply(claim('a', 3))).toEqual(true);
  expect(state.apply(claim('b', 3))).toEqual(false);
  expect(state.apply(claim('c', 2))).toEqual(false);
  expect(state.claim?.owner).toEqual('a');
});

// Guards against a pending count that drifts from the jobs.
test('counts pending jobs through start, beginning, cancel and end', () => {
  const state = CellState.create(1_000);
  state.apply({ kind: 'job', job: job() });
  expect(state.pendingOf('q')).toEqual(1);
  state.apply(start(0));
  expect(state.pendingOf('q')).toEqual(1);
  expect(state.apply({ kind: 'begun', job: id })).toEqual(true);
  expect(state.pendingOf('q')).toEqual(0);
  expect(state.apply({ kind: 'begun', job: id })).toEqual(false);
  state.apply(end(0, RunEnd.lost));
  expect(state.pendingOf('q')).toEqual(0);
  state.apply({ kind: 'cancel', id });
  expect(state.pendingOf('q')).toEqual(0);
  expect(state.apply({ kind: 'begun', job: id })).toEqual(false);
  expect(state.pendingOf('q')).toEqual(0);
});

// Guards against a job that counts as waiting although a worker has reported the end of a run of it.
test('a reported end shows that the job has begun', () => {
  const state = CellState.create(1_000);
  state.apply({ kind: 'job', job: job() });
  state.apply(start(0));
  state.apply(end(0, RunEnd.stopped));
  expect(state.pendingOf('q')).toEqual(0);
  expect(state.outcomeOf(id)).toEqual('running');
});

// Guards against memory that grows with every job that ever ended.
test('forgets ended jobs after the retention', () => {
  const state = CellState.create(1_000);
  state.apply({ kind: 'job', job: job() });
  state.apply({ kind: 'cancel', id });
  state.apply({ kind: 'renew', wallMs: 900 });
  expect(state.outcomeOf(id)).toEqual('cancelled');
  state.apply({ kind: 'renew', wallMs: 1_100 });
  expect(state.outcomeOf(id)).toEqual(undefined);
});

// Guards against a snapshot that loses or changes something.
test('a snapshot restores the same state', () => {
  const state = CellState.create(1_000);
  state.apply({ kind: 'claim', owner: 'a', address: 'x', token: 4, wallMs: 7 });
  state.apply({ kind: 'job', job: job() });
  state.apply(start(0));
  state.apply(end(0, RunEnd.lost, 1, 'saved'));
  state.apply(start(1));
  const copy = snapshotCodec.decode(snapshotCodec.encode(state), 1_000);
  expect(snapshotCodec.encode(copy)).toEqual(snapshotCodec.encode(state));
  expect(copy.pendingOf('q')).toEqual(state.pendingOf('q'));
  expect(copy.taskOf(`${id}.0.0.0`)?.task.checkpoint).toEqual('saved');
});

// Guards against foreign bytes in the log that end the process.
test('bytes that are no record are told apart', () => {
  expect(recordCodec.decode(Buffer.from('x'))).toEqual(undefined);
  expect(recordCodec.decode(Buffer.alloc(0))).toEqual(undefined);
  expect(recordCodec.decode(recordCodec.encode({ kind: 'release' }))).toEqual({ kind: 'release' });
});

// Guards against records that take twice the bytes of what they say: with 600 starts a second their
// field names were half of what every process reads.
test('a record of a start or an end holds no field names', () => {
  const task = '5c0e7a21d94b36f8.0.1.17';
  const start = recordCodec.encode({ kind: 'start', task, run: 2, worker: 'i-0a6055eb11' });
  const end = recordCodec.encode({ kind: 'end', task, run: 2, how: 'done', saved: '' });
  expect(start.byteLength <= 48).toEqual(true);
  expect(end.byteLength <= 42).toEqual(true);
});

// Guards against records that only the process that wrote them can read, and against records of former
// versions, which hold their field names.
test('records are read by a process that has read nothing else, in both formats', () => {
  const seed = 20_261_204;
  const step = fc.record({
    count: fc.integer({ min: 1, max: 50 }),
    gang: fc.boolean(),
    label: fc.string(),
    after: fc.array(fc.nat(5), { maxLength: 3 }),
  });
  const terms = fc.option(fc.constant({ decisionMs: 1.5, perWorkerMs: 0.1, ticketMs: 2_000 }), {
    nil: undefined,
  });
  const property = fc.property(fc.array(step, { maxLength: 4 }), terms, (steps, advice) => {
    const queue = { name: 'q', service: 's', priority: 0, maxAttempts: 2, stretch: 1, baseMs: 5 };
    const record: CellRecord = {
      kind: 'job',
      job: {
        ...job(),
        queue: advice === undefined ? queue : { ...queue, advice },
        steps: steps.map((options) => ({ ...plainStep, ...options })),
      },
    };
    const written = recordCodec.encode(record);
    const fresh = new Packr({
      useRecords: true,
      structures: recordStructures.map((fields) => [...fields]),
      maxSharedStructures: recordStructures.length,
      mapsAsObjects: true,
    });
    expect(fresh.unpack(written) as CellRecord).toEqual(record);
    expect(recordCodec.decode(written)).toEqual(record);
    expect(recordCodec.decode(new Packr({ useRecords: false }).pack(record))).toEqual(record);
  });
  fc.assert(property, { seed, numRuns: 300 });
});
