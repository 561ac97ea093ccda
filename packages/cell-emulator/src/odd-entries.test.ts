import { test } from 'node:test';
import { expect } from 'earl';
import { createJob } from './create-job.js';
import { EmulatedCell } from './emulated-cell.js';

/** Time in ms after a change of the owner within which the successor has placed the waiting tasks. */
const TAKEOVER_MS = 6_000;

function createCell(seed: number): EmulatedCell {
  return EmulatedCell.create({ seed, processes: 3, workers: 4 });
}

/** Publishes an entry for which the client of the worker throws, and one for which the decoder throws. */
function publishOddEntries(cell: EmulatedCell): void {
  const entry = { id: 'odd-address', born: 1, service: 'work', address: 'odd:99999' };
  cell.publishText(entry.id, JSON.stringify(entry));
  cell.publishText('odd-text', '{"service":');
}

/** Submits a job that needs all four workers at once. */
function submitToAllWorkers(
  cell: EmulatedCell,
  number: number,
): ReturnType<EmulatedCell['submit']> {
  const step = { count: 4, millicores: 8_000, estimateMs: 500 };
  const target = cell.processes.find(({ isUp }) => isUp)?.name ?? '';
  return cell.submit(createJob(number, [step]), target);
}

// Guards against a cell that runs nothing, and whose owners fail at their start one after the other, because
// one entry in the list of workers is odd.
test('a cell places work on the workers that are listed after odd entries, before and after a change of the owner', async () => {
  const cell = createCell(81);
  publishOddEntries(cell);
  await cell.start();
  await cell.advance(2_000);
  const submitted = [submitToAllWorkers(cell, 1)];
  await cell.advance(2_000);
  expect(cell.listUnfinishedJobs()).toEqual([]);
  expect(cell.history.filter(({ kind }) => kind === 'started').length).toEqual(4);
  cell.killProcess(cell.findOwnerName() ?? '');
  submitted.push(submitToAllWorkers(cell, 2));
  await cell.advance(TAKEOVER_MS);
  expect(await Promise.all(submitted)).toEqual(['accepted', 'accepted']);
  expect(cell.findOwnerName() === undefined).toEqual(false);
  expect(cell.history.filter(({ kind }) => kind === 'started').length).toEqual(8);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
  expect(cell.logLines.filter((line) => line.includes('unexpected-error'))).toEqual([]);
});

// Guards against an owner that overlooks what workers publish in the same moment as another program an odd
// entry: a new worker, a drain.
test('the owner uses a worker and follows a drain that were published together with odd entries', async () => {
  const cell = createCell(82);
  await cell.start();
  await cell.advance(2_000);
  publishOddEntries(cell);
  for (const id of ['w0', 'w1', 'w2', 'w3']) {
    const entry = cell.workers.get(id)?.entry;
    if (entry !== undefined) cell.publishWorker({ ...entry, draining: true, leavesInMs: 60_000 });
  }
  cell.addWorker('w4');
  await cell.advance(600);
  const submitted = cell.submit(createJob(1, [{ count: 4, millicores: 2_000 }]), 'p0');
  await cell.advance(1_000);
  expect(await submitted).toEqual('accepted');
  const started = cell.history.filter(({ kind }) => kind === 'started');
  expect(started.map(({ worker }) => worker)).toEqual(['w4', 'w4', 'w4', 'w4']);
});

// Guards against starts on a worker whose entry another program has overwritten, and against giving up what
// runs there: it would run twice.
test('a worker whose entry becomes unreadable keeps its runs and gets no starts, also after a change of the owner', async () => {
  const cell = createCell(83);
  await cell.start();
  await cell.advance(2_000);
  const step = { count: 4, millicores: 4_000, maxPerWorker: 1 };
  const submitted = [cell.submit(createJob(1, [{ ...step, estimateMs: 12_000 }]), 'p0')];
  await cell.advance(1_000);
  const first = cell.history.filter(({ kind }) => kind === 'started');
  expect(first.map(({ worker }) => worker).sort()).toEqual(['w0', 'w1', 'w2', 'w3']);
  cell.publishText('w0', '{"service":');
  await cell.advance(400);
  const readOddAtMs = cell.clock.monotonicMs();
  const submitSmallJob = (number: number): void => {
    const target = cell.processes.find(({ isUp }) => isUp)?.name ?? '';
    const job = createJob(number, [{ count: 12, millicores: 1_000, estimateMs: 300 }]);
    submitted.push(cell.submit(job, target));
  };
  submitSmallJob(2);
  await cell.advance(2_000);
  cell.killProcess(cell.findOwnerName() ?? '');
  submitSmallJob(3);
  await cell.advance(10_000);
  const later = cell.history.filter(({ kind, atMs }) => kind === 'started' && atMs > readOddAtMs);
  expect(later.length).toEqual(24);
  expect(later.filter(({ worker }) => worker === 'w0')).toEqual([]);
  expect(cell.history.filter(({ how }) => how !== undefined && how !== 'done')).toEqual([]);
  const entry = cell.workers.get('w0')?.entry;
  if (entry !== undefined) cell.publishWorker(entry);
  await cell.advance(600);
  submitted.push(submitToAllWorkers(cell, 4));
  await cell.advance(2_000);
  expect(cell.history.filter(({ worker }) => worker === 'w0').length).toBeGreaterThan(2);
  expect(new Set(await Promise.all(submitted))).toEqual(new Set(['accepted']));
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
});

// Guards against a second run beside the first, when no process knows the address of a worker with runs.
test('processes that start while the entry of a worker is unreadable run its tasks again after their leases', async () => {
  const cell = createCell(85);
  await cell.start();
  await cell.advance(2_000);
  const step = { count: 4, millicores: 4_000, maxPerWorker: 1, estimateMs: 12_000 };
  const submitted = cell.submit(createJob(1, [step]), 'p0');
  await cell.advance(1_000);
  cell.publishText('w0', '{"service":');
  for (const { name } of cell.processes) cell.killProcess(name);
  for (const { name } of [...cell.processes]) await cell.startProcess(name);
  await cell.advance(50_000);
  expect(await submitted).toEqual('accepted');
  const ends = cell.history.filter(({ kind }) => kind === 'ended').map(({ how }) => how);
  expect(ends.sort()).toEqual(['done', 'done', 'done', 'done', 'lapsed']);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
});

// Guards against a drain that is forgotten because the entry that follows it is odd.
test('a draining worker whose entry becomes unreadable gets no starts', async () => {
  const cell = EmulatedCell.create({ seed: 84, processes: 3, workers: 1 });
  await cell.start();
  await cell.advance(2_000);
  const entry = cell.workers.get('w0')?.entry;
  if (entry !== undefined) cell.publishWorker({ ...entry, draining: true, leavesInMs: 60_000 });
  cell.publishText('w0', '{"service":');
  await cell.advance(400);
  void cell.submit(createJob(1), 'p0');
  await cell.advance(1_000);
  cell.killProcess(cell.findOwnerName() ?? '');
  await cell.advance(TAKEOVER_MS);
  expect(cell.orders.filter(({ kind }) => kind === 'start')).toEqual([]);
});

// Guards against a second run of a task while the first one goes on: an entry that another program writes under
// the id of a worker, and that looks like that of a later incarnation, counts as proof that the worker has ended.
test('an entry of a later incarnation that no worker confirms does not end the runs of a worker', async () => {
  const cell = createCell(83);
  await cell.start();
  await cell.advance(2_000);
  const step = { count: 4, millicores: 4_000, estimateMs: 12_000 };
  const submitted = cell.submit(createJob(1, [step]), 'p0');
  await cell.advance(1_000);
  expect(await submitted).toEqual('accepted');
  const started = cell.history.find(({ kind }) => kind === 'started');
  const entry = cell.workers.get(started?.worker ?? '')?.entry;
  if (entry === undefined) throw new Error('no run started');
  cell.publishWorker({ ...entry, born: entry.born + 1_000, address: 'w9:1' });
  await cell.advance(6_000);
  expect(cell.listViolations()).toEqual([]);
});
