import { test } from 'node:test';
import { expect } from 'earl';
import { planCell } from './plan-cell.js';
import { plannerFixture } from './planner-fixture.js';

// These tests use fixed inputs and no seed.

const QUEUE = {
  ...plannerFixture.createAdvisedQueue(),
  advice: { decisionMs: 10, perWorkerMs: 1, ticketMs: 2_000 },
};

// Guards against a task that waits for good: the allowed workers are full and fill each advice request, so that
// the idle worker is never named.
test('an advice request names an idle worker before allowed ones that are full', () => {
  const full = Array.from({ length: 12 }, (_, index) =>
    plannerFixture.createWorker(`full${index}`, { freeMillicores: 0 }),
  );
  const step = plannerFixture.createStep('a', {
    queue: QUEUE,
    advice: plannerFixture.createAdvice({ allowed: new Map(full.map(({ id }) => [id, 5_000])) }),
    step: { millicores: 1_000 },
  });
  const [request] = planCell(
    [step],
    [...full, plannerFixture.createWorker('idle')],
    0,
  ).adviceRequests;
  expect(request?.workers.length).toEqual(10);
  expect(request?.workers[0]).toEqual('idle');
});

// Guards against a step that gets no advice for an idle worker, because an urgent step has filled the worker
// that had the most room when the round began.
test('a step requests advice for an idle worker behind one that the round has filled', () => {
  const urgent = plannerFixture.createStep('a', {
    objectiveAtMs: 1_500,
    step: { count: 2, millicores: 16_000 },
  });
  const denied = plannerFixture.createStep('b', {
    queue: QUEUE,
    advice: plannerFixture.createAdvice({ denied: new Set(['other']) }),
    step: { millicores: 8_000 },
  });
  const workers = [
    plannerFixture.createWorker('w0'),
    plannerFixture.createWorker('w1', { freeMillicores: 10_000 }),
  ];
  const plan = planCell([urgent, denied], workers, 0);
  expect(plan.starts.map(({ worker }) => worker)).toEqual(['w0', 'w0']);
  expect(plan.adviceRequests.map(({ key }) => key)).toEqual(['b']);
});
