import { test } from 'node:test';
import { expect } from 'earl';
import { planCell } from './plan-cell.js';
import { plannerFixture } from './planner-fixture.js';

// These tests use fixed inputs and no seed.

const SMALL = { millicores: 8_000, memoryMib: 16_384, accelerators: 0 };

function createSmallWorker(id: string): ReturnType<typeof plannerFixture.createWorker> {
  return plannerFixture.createWorker(id, { total: SMALL, free: { ...SMALL } });
}

// Guards against a step that never starts again: its first task avoids the only worker that is large enough,
// where it has failed, for another one that is too small (review/1).
test('a task starts again where it failed when no other worker is large enough', () => {
  const step = plannerFixture.createStep('a', {
    failedRuns: new Map([[0, { workers: ['w0'], waitingSinceMs: 100 }]]),
    step: { count: 2, millicores: 12_000 },
  });
  const workers = [plannerFixture.createWorker('w0'), createSmallWorker('w1')];
  expect(planCell([step], workers, 100).starts.map(({ index }) => index)).toEqual([0, 1]);
});

// Guards against the same when the advice service allows no other worker.
test('a task starts again where it failed when all other workers are denied', () => {
  const step = plannerFixture.createStep('a', {
    queue: plannerFixture.createAdvisedQueue(),
    advice: plannerFixture.createAdvice({
      allowed: new Map([['w0', 5_000]]),
      denied: new Set(['w1']),
    }),
    failedRuns: new Map([[0, { workers: ['w0'], waitingSinceMs: 100 }]]),
  });
  const workers = [plannerFixture.createWorker('w0'), plannerFixture.createWorker('w1')];
  expect(planCell([step], workers, 100).starts).toEqual([{ key: 'a', index: 0, worker: 'w0' }]);
});

// Guards against tasks that wait behind one that avoids the only worker with room, and against a task that
// waits for good for workers that stay full.
test('a task that failed waits a second for another worker, and the tasks after it do not', () => {
  const step = plannerFixture.createStep('a', {
    failedRuns: new Map([[0, { workers: ['w0'], waitingSinceMs: 1_000 }]]),
    step: { count: 3, millicores: 4_000 },
  });
  const plan = (nowMs: number) => {
    const workers = [
      plannerFixture.createWorker('w0'),
      plannerFixture.createWorker('w1', { freeMillicores: 0 }),
    ];
    return planCell([step], workers, nowMs).starts.map(({ index }) => index);
  };
  expect(plan(1_900)).toEqual([1, 2]);
  expect(plan(2_000)).toEqual([0, 1, 2]);
});

// Guards against a task that goes back to the worker of its first failure after the second one.
test('a task that failed on two workers starts on the third', () => {
  const step = plannerFixture.createStep('a', {
    failedRuns: new Map([[0, { workers: ['w0', 'w1'], waitingSinceMs: 0 }]]),
  });
  const workers = ['w0', 'w1', 'w2'].map((id) => plannerFixture.createWorker(id));
  expect(planCell([step], workers, 5_000).starts).toEqual([{ key: 'a', index: 0, worker: 'w2' }]);
});
