import { test } from 'node:test';
import { expect } from 'earl';
import { createJob } from './create-job.js';
import { EmulatedCell } from './emulated-cell.js';
import type { HistoryEvent } from './history-event.js';

// Each test uses a fixed seed.

/** Runs a job of one task for 90 s, and returns the stops of its runs and the ejections of workers. */
async function runLongTask(
  seed: number,
  estimateMs: number,
  payload: string,
): Promise<{ stops: HistoryEvent[]; ejections: number }> {
  const cell = EmulatedCell.create({ seed, processes: 3, workers: 2 });
  await cell.start();
  await cell.advance(2_000);
  const submitted = cell.submit(createJob(1, [{ estimateMs }], { payload }), 'p0');
  await cell.advance(90_000);
  expect(await submitted).toEqual('accepted');
  expect(cell.listViolations()).toEqual([]);
  return {
    stops: cell.history.filter(({ how }) => how === 'stopped'),
    ejections: cell.logLines.filter((line) => line.includes('worker-ejected')).length,
  };
}

// Guards against a task that is stopped every few seconds because one percent of it takes longer than that, and
// against workers that are ejected for it (review/3).
test('a task of 400 s runs on although its progress changes every 4 s only', async () => {
  expect(await runLongTask(64, 400_000, 'plain')).toEqual({ stops: [], ejections: 0 });
});

// Guards against the same for a task whose estimate is a hundredth of its duration.
test('a task that takes much longer than its estimate is stopped at most twice', async () => {
  const { stops, ejections } = await runLongTask(65, 4_000, 'long');
  expect(stops.length <= 2).toEqual(true);
  expect(stops.every(({ atMs }) => atMs < 20_000)).toEqual(true);
  expect(ejections <= 1).toEqual(true);
});
