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
function submitToAllWorkers(cell: EmulatedCell, number: number): Promise<string> {
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
