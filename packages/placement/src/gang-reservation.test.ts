import { test } from 'node:test';
import { expect } from 'earl';
import type { JobSpec } from '@acaciahoist/types/job-spec';
import type { Decision } from './decision.js';
import { Placement } from './index.js';

const sized = (millicores: number) => ({ millicores, memoryMib: 100, accelerators: {} });
const spec = (kind: JobSpec['kind'], count: number, millicores: number): JobSpec => ({
  family: `${kind}-${millicores}`,
  user: 'u',
  team: 't',
  kind,
  groups: [{ name: 'g', count, resources: sized(millicores) }],
  ...(kind === 'service' ? {} : { runMs: 10_000 }),
  urgent: false,
  repeatable: true,
});

/** Three workers of 8 cores with a service of 1 core and a batch task of 6 cores on each. */
function createCell() {
  const placement = Placement.create({
    teams: [{ name: 't', quotaPerMille: 1_000 }],
    limits: { reservePerMille: 0 },
  });
  for (const address of ['a', 'b', 'c']) {
    const place = { rack: address, dataCentre: 'd', region: 'r' };
    placement.addWorker({ address, ...place, resources: { ...sized(8_000), memoryMib: 8_000 } }, 0);
  }
  placement.submit('service', spec('service', 3, 1_000), 0, 0);
  const services = starts(placement.decide(0, 0));
  placement.submit('batch', spec('batch', 3, 6_000), 0, 0);
  const batch = starts(placement.decide(100, 100));
  for (const { taskId } of [...services, ...batch]) placement.taskStarted(taskId);
  return { placement, services, batch };
}

function starts(decisions: readonly Decision[]) {
  return decisions.filter((decision) => decision.type === 'start');
}

// Guards against a gang that waits for ever: the service on a planned worker grew, so that the part
// planned there never fits, while another worker has room for it.
test('a gang moves its part from a worker on which a service has grown', () => {
  const { placement, services, batch } = createCell();
  placement.submit('gang', spec('gang', 2, 6_500), 1_000, 1_000);
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
          usage: sized(3_000),
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
    for (const start of starts(placement.decide(nowMs, nowMs))) {
      if (start.jobId === 'gang') started.add(start.worker);
    }
  }
  expect(started.size).toEqual(2);
  expect(started.has(grown?.worker ?? '')).toEqual(false);
});

// Guards against a gang that goes on waiting for a worker that left service.
test('a gang starts elsewhere when a planned worker leaves service', () => {
  const { placement, batch } = createCell();
  placement.submit('gang', spec('gang', 2, 6_500), 1_000, 1_000);
  placement.decide(1_000, 1_000);
  placement.setWorkerState('a', 'suspended');
  placement.decide(1_500, 1_500);
  for (const { taskId } of batch) placement.taskEnded(taskId, 'completed', 12_000, 12_000);
  const started = new Set<string>();
  for (let nowMs = 12_000; nowMs < 20_000; nowMs += 500) {
    for (const start of starts(placement.decide(nowMs, nowMs))) {
      if (start.jobId === 'gang') started.add(start.worker);
    }
  }
  expect([...started].sort()).toEqual(['b', 'c']);
});
