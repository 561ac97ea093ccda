import { test } from 'node:test';
import { expect } from 'earl';
import { computeStallLimit } from './compute-stall-limit.js';

// These tests use fixed inputs and no seed.

const RUN = { minMs: 2_500, estimateMs: 4_000, percent: 0, workedMs: 0, earlierStalls: 0 };

// Guards against runs of long tasks that are stopped between two percents of progress (review/3).
test('the stall limit covers three percents of a long estimate or of slow progress', () => {
  expect(computeStallLimit({ ...RUN, estimateMs: 4 * 3_600_000 })).toEqual(432_000);
  expect(computeStallLimit({ ...RUN, percent: 10, workedMs: 60_000 })).toEqual(18_000);
});

// Guards against stalled runs that occupy their worker for longer than before, because tasks are short.
test('the stall limit of a short task stays at its minimum', () => {
  expect(computeStallLimit(RUN)).toEqual(2_500);
  expect(computeStallLimit({ ...RUN, percent: 50, workedMs: 2_000 })).toEqual(2_500);
});

// Guards against a task that never ends because its estimate is far too short.
test('the stall limit doubles with each stall of the task', () => {
  expect([1, 2, 5].map((earlierStalls) => computeStallLimit({ ...RUN, earlierStalls }))).toEqual([
    5_000, 10_000, 80_000,
  ]);
});
