import { test } from 'node:test';
import { expect } from 'earl';
import type { JobSpec } from '@acaciahoist/types/job-spec';
import type { Decision } from './decision.js';
import { Placement } from './placement.js';

const createResources = (millicores: number) => ({ millicores, memoryMib: 100, accelerators: {} });
const createSpec = (kind: JobSpec['kind'], count: number, millicores: number): JobSpec => ({
  family: `${kind}-${millicores}`,
  user: 'u',
  team: 't',
  kind,
  groups: [{ name: 'g', count, resources: createResources(millicores) }],
  ...(kind === 'service' ? {} : { runMs: 10_000 }),
  urgent: false,
  repeatable: true,
});

/** Creates three workers of 8 cores that run a service task of 1 core and a batch task of 6 each. */
function createPlacement() {
  const placement = Placement.create({
    teams: [{ name: 't', quotaPerMille: 1_000 }],
    limits: { reservePerMille: 0 },
  });
  for (const address of ['a', 'b', 'c']) {
    const location = { rack: address, dataCentre: 'd', region: 'r' };
    placement.addWorker(
      { address, ...location, resources: { ...createResources(8_000), memoryMib: 8_000 } },
      0,
    );
  }
  placement.submit('service', createSpec('service', 3, 1_000), 0, 0);
  const services = listStarts(placement.decide(0, 0));
  placement.submit('batch', createSpec('batch', 3, 6_000), 0, 0);
  const batch = listStarts(placement.decide(100, 100));
  for (const { taskId } of [...services, ...batch]) placement.taskStarted(taskId);
  return { placement, services, batch };
}

function listStarts(decisions: readonly Decision[]) {
  return decisions.filter((decision) => decision.type === 'start');
}

// Guards against a gang that waits forever: the usage of a service on a planned worker grew, so
// that the task planned there never fits, although it fits another worker.
test('a gang reservation replaces a worker on which the usage of a service grew', () => {
  const { placement, services, batch } = createPlacement();
  placement.submit('gang', createSpec('gang', 2, 6_500), 1_000, 1_000);
  placement.decide(1_000, 1_000);
  const [grown] = services;
  placement.usageReported(
    grown?.worker ?? '',
    {
      sequence: 1,
      incarnation: 'i',
      tasks: [
        {
          taskId: grown?.taskId ?? '',
          state: 'running',
          usage: createResources(3_000),
          throttled: false,
          progressMs: 0,
        },
      ],
    },
    2_000,
    2_000,
  );
  for (const { taskId } of batch) placement.taskEnded(taskId, 'completed', 12_000, 12_000);
  const started = new Set<string>();
  for (let nowMs = 12_000; nowMs < 20_000; nowMs += 500) {
    for (const start of listStarts(placement.decide(nowMs, nowMs))) {
      if (start.jobId === 'gang') started.add(start.worker);
    }
  }
  expect(started.size).toEqual(2);
  expect(started.has(grown?.worker ?? '')).toEqual(false);
});

// Guards against a gang that keeps waiting for a planned worker that was suspended.
test('a gang reservation replaces a planned worker that was suspended', () => {
  const { placement, batch } = createPlacement();
  placement.submit('gang', createSpec('gang', 2, 6_500), 1_000, 1_000);
  placement.decide(1_000, 1_000);
  placement.setWorkerState('a', 'suspended');
  placement.decide(1_500, 1_500);
  for (const { taskId } of batch) placement.taskEnded(taskId, 'completed', 12_000, 12_000);
  const started = new Set<string>();
  for (let nowMs = 12_000; nowMs < 20_000; nowMs += 500) {
    for (const start of listStarts(placement.decide(nowMs, nowMs))) {
      if (start.jobId === 'gang') started.add(start.worker);
    }
  }
  expect([...started].sort()).toEqual(['b', 'c']);
});
