import { test } from 'node:test';
import { expect } from 'earl';
import { planCell } from './plan-cell.js';
import { plannerFixture } from './planner-fixture.js';

const createWorker = (
  ...args: Parameters<typeof plannerFixture.createWorker>
): ReturnType<typeof plannerFixture.createWorker> => plannerFixture.createWorker(...args);
const createStep = (
  ...args: Parameters<typeof plannerFixture.createStep>
): ReturnType<typeof plannerFixture.createStep> => plannerFixture.createStep(...args);
const createAdvice = (
  ...args: Parameters<typeof plannerFixture.createAdvice>
): ReturnType<typeof plannerFixture.createAdvice> => plannerFixture.createAdvice(...args);

// Guards against a gang of which only some members start.
test('the planner starts all tasks of a gang or none', () => {
  const gang = { step: { count: 4, millicores: 16_000, gang: true } };
  expect(planCell([createStep('a', gang)], [createWorker('w0')], 0).starts).toEqual([]);
  expect(
    planCell([createStep('a', gang)], [createWorker('w0'), createWorker('w1')], 0).starts.length,
  ).toEqual(4);
});

// Guards against small tasks that take all capacity as it becomes free, so that a gang never fits.
test('the planner reserves capacity for a gang against tasks that end after the gang fits', () => {
  const run = {
    endsInMs: 500,
    usedCapacity: { millicores: 16_000, memoryMib: 0, accelerators: 0 },
  };
  const createHalfFreeWorker = (): ReturnType<typeof createWorker> =>
    createWorker('w0', { freeMillicores: 16_000, listRuns: () => [run] });
  const gang = createStep('a', { step: { count: 2, millicores: 16_000, gang: true } });
  const long = createStep('b', {
    objectiveAtMs: 50_000,
    step: { count: 4, millicores: 4_000, estimateMs: 2_000 },
  });
  const short = createStep('c', {
    objectiveAtMs: 50_000,
    step: { count: 4, millicores: 4_000, estimateMs: 400 },
  });
  expect(planCell([gang, long], [createHalfFreeWorker()], 0).starts).toEqual([]);
  expect(planCell([gang, short], [createHalfFreeWorker()], 0).starts.length).toEqual(4);
});

// Guards against a step that never runs: when a new owner starts, few workers have answered. If the
// advice service denies all of these, the workers that answer later must still be named.
test('the planner requests advice for workers that no request has named', () => {
  const denied = createAdvice({ denied: new Set(['w0']) });
  const workers = [createWorker('w0'), createWorker('w1')];
  const single = createStep('a', { queue: plannerFixture.createAdvisedQueue(), advice: denied });
  expect(planCell([single], workers, 0).adviceRequests).toEqual([{ key: 'a', workers: ['w1'] }]);
  const gang = createStep('b', {
    queue: plannerFixture.createAdvisedQueue(),
    advice: denied,
    step: { count: 2, gang: true, millicores: 10_000 },
  });
  expect(planCell([gang], workers, 0).adviceRequests).toEqual([{ key: 'b', workers: ['w1'] }]);
});

// Guards against advice requests for steps that have no worker to start on.
test('the planner requests no advice when no worker has capacity for the step', () => {
  const expiredAdvice = createAdvice({ allowed: new Map([['w0', -1]]) });
  const full = createStep('a', {
    queue: plannerFixture.createAdvisedQueue(),
    advice: expiredAdvice,
    step: { millicores: 4_000 },
  });
  expect(
    planCell([full], [createWorker('w0', { freeMillicores: 1_000 })], 0).adviceRequests,
  ).toEqual([]);
});

// Guards against a start whose ticket expires before the worker receives it.
test('the planner renews a ticket that is about to expire before it starts the task', () => {
  const expiringAdvice = createAdvice({ allowed: new Map([['w0', 1_050]]) });
  const plan = planCell(
    [createStep('a', { queue: plannerFixture.createAdvisedQueue(), advice: expiringAdvice })],
    [createWorker('w0')],
    1_000,
  );
  expect(plan.starts).toEqual([]);
  expect(plan.adviceRequests).toEqual([{ key: 'a', workers: ['w0'] }]);
});

// Guards against a worker on probation that gets as much work as a healthy worker.
test('the planner tries a worker on probation with a single task of a step that is not prompt', () => {
  const createWorkers = (): ReturnType<typeof createWorker>[] => [
    createWorker('w0', { isOnProbation: true }),
    createWorker('w1', { freeMillicores: 0 }),
  ];
  const batch = createStep('a', { step: { count: 5 } });
  expect(planCell([batch], createWorkers(), 0).starts.length).toEqual(1);
  const gang = createStep('b', { step: { count: 2, gang: true } });
  expect(planCell([gang], createWorkers(), 0).starts).toEqual([]);
  const prompt = createStep('c', { queue: { ...batch.queue, priority: 0 } });
  expect(planCell([prompt], createWorkers(), 0).starts).toEqual([]);
});

// Guards against a failing worker that alone uses up all attempts of a task.
test('the planner starts a failed task on another worker when there is one', () => {
  const failedRuns = new Map([[0, { workers: ['w0'], waitingSinceMs: 0 }]]);
  const failed = createStep('a', { failedRuns });
  const workers = [createWorker('w0', { freeMillicores: 1_500 }), createWorker('w1')];
  expect(planCell([failed], workers, 0).starts).toEqual([{ key: 'a', index: 0, worker: 'w1' }]);
  expect(planCell([failed], [createWorker('w0')], 0).starts.length).toEqual(1);
});

// Load pattern: gangs that use half of a large cell (sealings at the large site, trouble-1). Guards
// against gangs that wait behind the three that have a reservation while small tasks take all
// capacity.
test('the planner reserves capacity for more gangs when the cell is larger', () => {
  const countReservations = (workers: number): number => {
    const run = {
      endsInMs: 400,
      usedCapacity: { millicores: 30_000, memoryMib: 0, accelerators: 0 },
    };
    const full = Array.from({ length: workers }, (_, index) =>
      createWorker(`w${index}`, { freeMillicores: 2_000, listRuns: () => [run] }),
    );
    const gangs = Array.from({ length: 30 }, (_, index) =>
      createStep(`gang${index}`, { step: { count: 4, millicores: 30_000, gang: true } }),
    );
    return planCell(gangs, full, 0).reservations.length;
  };
  expect(countReservations(32)).toEqual(3);
  expect(countReservations(378)).toEqual(12);
});
