import { test } from 'node:test';
import { expect } from 'earl';
import { planCell } from './plan-cell.js';
import type { PlannedWorker } from './planned-worker.js';
import { plannerFixture } from './planner-fixture.js';

// These tests use fixed inputs and no seed.

/** Creates a worker with 22 of 32 cores free, while a run uses the others. */
function createWorker(id: string, isLongRunning: boolean): PlannedWorker {
  const run = {
    endsInMs: isLongRunning ? Number.POSITIVE_INFINITY : 500,
    usedCapacity: { millicores: 10_000, memoryMib: 0, accelerators: 0 },
  };
  const total = { millicores: 32_000, memoryMib: 65_536, accelerators: 0 };
  return plannerFixture.createWorker(id, {
    freeMillicores: 22_000,
    eventuallyFree: { ...total, millicores: isLongRunning ? 22_000 : 32_000 },
    listRuns: () => [run],
  });
}

const createGang = (key: string, millicores = 24_000) =>
  plannerFixture.createStep(key, { step: { count: 2, millicores, gang: true } });
const later = plannerFixture.createStep('z', {
  objectiveAtMs: 60_000,
  step: { count: 2, millicores: 10_000, estimateMs: 5_000 },
});

// Guards against jobs that wait for minutes beside free workers: the capacity of tasks that last is reserved for a
// gang that cannot run beside them (review/5).
test('the planner reserves nothing for a gang that never fits beside long-running tasks', () => {
  const workers = ['w0', 'w1'].map((id) => createWorker(id, true));
  const plan = planCell([createGang('a'), later], workers, 0);
  expect(plan.reservations).toEqual([]);
  expect(plan.starts.map(({ key }) => key)).toEqual(['z', 'z']);
});

// Guards against a gang that never gets a reservation because gangs that can never run use up all searches.
test('the planner reserves capacity for a gang behind many gangs that never fit', () => {
  const hopeless = Array.from({ length: 10 }, (_, index) => createGang(`a${index}`, 40_000));
  const workers = ['w0', 'w1'].map((id) => createWorker(id, false));
  const plan = planCell([...hopeless, createGang('b'), later], workers, 0);
  expect(plan.reservations.map(({ key }) => key)).toEqual(['b']);
  expect(plan.starts).toEqual([]);
});
