import { test } from 'node:test';
import { expect } from 'earl';
import { createJob } from './create-job.js';
import { EmulatedCell } from './emulated-cell.js';

// The test uses a fixed seed.

// Guards against jobs that wait beside free workers while a gang cannot run: tasks that last use the capacity that it
// would need, and the owner expects them to end at once (review/5).
test('jobs of a lower priority start while a gang cannot run beside long-running tasks', async () => {
  const cell = EmulatedCell.create({ seed: 63, processes: 3, workers: 4 });
  await cell.start();
  await cell.advance(2_000);
  const lasting = createJob(1, [
    { count: 4, millicores: 3_000, longRunning: true, estimateMs: 60_000, maxPerWorker: 1 },
  ]);
  const accepted = [cell.submit(lasting, 'p0')];
  await cell.advance(2_500);
  const gang = createJob(2, [{ count: 4, millicores: 6_000, gang: true, estimateMs: 4_000 }]);
  accepted.push(cell.submit(gang, 'p0'));
  await cell.advance(500);
  const step = { millicores: 3_000, estimateMs: 1_000 };
  for (let number = 3; number <= 8; number += 1)
    accepted.push(cell.submit(createJob(number, [step], { priority: 2 }), 'p1'));
  await cell.advance(6_000);
  expect(new Set(await Promise.all(accepted))).toEqual(new Set(['accepted']));
  expect(cell.listUnfinishedJobs()).toEqual([lasting.id, gang.id]);
  expect(cell.listViolations()).toEqual([]);
});
