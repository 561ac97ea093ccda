import { test } from 'node:test';
import { expect } from 'earl';
import { planCell } from './plan-cell.js';
import type { PlannedWorker } from './planned-worker.js';
import { plannerFixture } from './planner-fixture.js';

// These tests use fixed inputs and no seed.

const NONE = { millicores: 0, memoryMib: 0, accelerators: 0 };

const createEjected = (id: string, overrides: Partial<PlannedWorker> = {}): PlannedWorker =>
  plannerFixture.createWorker(id, { acceptsStarts: false, isLastResort: true, ...overrides });
/** Creates a worker that is full of long-running tasks. */
const createOccupied = (id: string): PlannedWorker =>
  plannerFixture.createWorker(id, { freeMillicores: 0, eventuallyFree: NONE });
const createPrompt = (overrides: Parameters<typeof plannerFixture.createStep>[1] = {}) =>
  plannerFixture.createStep('a', { queue: plannerFixture.createAdvisedQueue(0), ...overrides });
const listWorkers = (step: ReturnType<typeof createPrompt>, workers: readonly PlannedWorker[]) =>
  planCell([step], workers, 0).starts.map(({ worker }) => worker);

// Guards against a step that waits for the end of an ejection or a probation, although its tasks can run on no
// other worker.
test('a step that fits on no other worker starts one task on an ejected one', () => {
  const labelled = createPrompt({ step: { count: 3, label: 'gpu' } });
  const gpu = { labels: ['gpu'] };
  const other = plannerFixture.createWorker('w1');
  expect(listWorkers(labelled, [createEjected('w0', gpu), other])).toEqual(['w0']);
  expect(listWorkers(createPrompt(), [createEjected('w0'), createOccupied('w1')])).toEqual(['w0']);
  const denied = createPrompt({
    advice: plannerFixture.createAdvice({
      allowed: new Map([['w0', 5_000]]),
      denied: new Set(['w1']),
    }),
  });
  expect(listWorkers(denied, [createEjected('w0'), other])).toEqual(['w0']);
});

// Guards against a gang that waits for good because only a part of it fits on the workers that are not ejected.
test('a gang that needs an ejected worker starts with it', () => {
  const gang = createPrompt({ step: { count: 2, millicores: 20_000, gang: true } });
  const workers = [createEjected('w0'), plannerFixture.createWorker('w1')];
  expect(listWorkers(gang, workers).sort()).toEqual(['w0', 'w1']);
});

// Guards against an ejected worker that gets tasks because the others are full at the moment.
test('a step that another worker will have room for starts no task on an ejected one', () => {
  const full = plannerFixture.createWorker('w1', { freeMillicores: 0 });
  expect(listWorkers(createPrompt(), [createEjected('w0'), full])).toEqual([]);
  const notTried = createEjected('w0', { isLastResort: false });
  expect(listWorkers(createPrompt(), [notTried, createOccupied('w1')])).toEqual([]);
});
