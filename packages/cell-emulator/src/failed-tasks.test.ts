import { test } from 'node:test';
import { expect } from 'earl';
import { createJob } from './create-job.js';
import { EmulatedCell } from './emulated-cell.js';

// Each test uses a fixed seed.

const LASTING_JOB = createJob(1, [
  { count: 3, millicores: 8_000, longRunning: true, estimateMs: 60_000, maxPerWorker: 1 },
]);

/** Starts a cell in which tasks that last fill three of the four workers. */
async function startOccupiedCell(seed: number): Promise<EmulatedCell> {
  const cell = EmulatedCell.create({ seed, processes: 3, workers: 4 });
  await cell.start();
  await cell.advance(2_000);
  const accepted = cell.submit(LASTING_JOB, 'p0');
  await cell.advance(1_500);
  expect(await accepted).toEqual('accepted');
  return cell;
}

// Guards against a task that is kept away for good from the worker on which it failed once, and against the
// later tasks of its step waiting with it: no other worker has room (review/1).
test('a task that failed on the only worker with room starts there again', async () => {
  const cell = await startOccupiedCell(61);
  const flaky = createJob(2, [{ count: 3, millicores: 3_000, estimateMs: 500 }], {
    payload: 'flaky',
  });
  const accepted = cell.submit(flaky, 'p1');
  await cell.advance(6_000);
  expect(await accepted).toEqual('accepted');
  expect(cell.listUnfinishedJobs()).toEqual([LASTING_JOB.id]);
  expect(cell.listViolations()).toEqual([]);
});

// Guards against a prompt job that waits up to 20 s for the end of a probation, while the only worker that could run
// it is idle.
test('a prompt job starts on an ejected worker when no other one can run it', async () => {
  const cell = await startOccupiedCell(62);
  const step = { millicores: 2_000, estimateMs: 200 };
  const accepted = [2, 3, 4].map((number) =>
    cell.submit(createJob(number, [step], { payload: 'fails' }), 'p1'),
  );
  await cell.advance(1_000);
  expect(cell.logLines.some((line) => line.includes('worker-ejected'))).toEqual(true);
  accepted.push(cell.submit(createJob(5, [step], { priority: 0 }), 'p1'));
  await cell.advance(1_500);
  expect(new Set(await Promise.all(accepted))).toEqual(new Set(['accepted']));
  expect(cell.listUnfinishedJobs()).toEqual([LASTING_JOB.id]);
  expect(cell.listViolations()).toEqual([]);
});
