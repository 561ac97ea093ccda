import { test } from 'node:test';
import { expect } from 'earl';
import { createJob } from './create-job.js';
import { EmulatedCell } from './emulated-cell.js';

// Each test uses a fixed seed.

// Guards against a task that is kept away for good from the worker on which it failed once, and against the
// later tasks of its step waiting with it: tasks that last fill all other workers (review/1).
test('a task that failed on the only worker with room starts there again', async () => {
  const cell = EmulatedCell.create({ seed: 61, processes: 3, workers: 4 });
  await cell.start();
  await cell.advance(2_000);
  const lasting = createJob(1, [
    { count: 3, millicores: 8_000, longRunning: true, estimateMs: 60_000, maxPerWorker: 1 },
  ]);
  const accepted = [cell.submit(lasting, 'p0')];
  await cell.advance(1_500);
  const flaky = createJob(2, [{ count: 3, millicores: 3_000, estimateMs: 500 }], {
    payload: 'flaky',
  });
  accepted.push(cell.submit(flaky, 'p1'));
  await cell.advance(6_000);
  expect(await Promise.all(accepted)).toEqual(['accepted', 'accepted']);
  expect(cell.listUnfinishedJobs()).toEqual([lasting.id]);
  expect(cell.listViolations()).toEqual([]);
});

// Guards against a prompt job that waits up to 20 s for the end of a probation, while the only worker that could run
// it is idle: tasks that last fill all other workers.
test('a prompt job starts on an ejected worker when no other one can run it', async () => {
  const cell = EmulatedCell.create({ seed: 62, processes: 3, workers: 4 });
  await cell.start();
  await cell.advance(2_000);
  const lasting = createJob(1, [
    { count: 3, millicores: 8_000, longRunning: true, estimateMs: 60_000, maxPerWorker: 1 },
  ]);
  const accepted = [cell.submit(lasting, 'p0')];
  await cell.advance(1_500);
  const step = { millicores: 2_000, estimateMs: 200 };
  for (let number = 2; number <= 4; number += 1)
    accepted.push(cell.submit(createJob(number, [step], { payload: 'fails' }), 'p1'));
  await cell.advance(1_000);
  expect(cell.logLines.some((line) => line.includes('worker-ejected'))).toEqual(true);
  const prompt = createJob(5, [step], { priority: 0 });
  accepted.push(cell.submit(prompt, 'p1'));
  await cell.advance(1_500);
  expect(new Set(await Promise.all(accepted))).toEqual(new Set(['accepted']));
  expect(cell.listUnfinishedJobs()).toEqual([lasting.id]);
  expect(cell.listViolations()).toEqual([]);
});
