import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import { defaultPolicy } from '@acaciahoist/placement/default-policy';
import type { Policy } from '@acaciahoist/placement/policy';
import { createWorkload } from './create-workload.js';
import { Simulation } from './simulation.js';

const SEED = Number(process.env.SEED ?? 20_261_204);

function countViolations(policy: Policy): number {
  const times = { durationMs: 20_000, warmUpMs: 1_000, startWallMs: 1_000_000 };
  const workload = createWorkload({ seed: SEED, workers: 16, load: 1.2, ...times });
  return Simulation.create(workload, policy, ManualClock.create(), 1_000_000).run().violations;
}

// Guards against a simulation that reports 0 violations for any policy, because its checks do not
// compare the starts with the capacity of the fake workers.
test('the placement simulation reports violations of a policy that ignores capacity and none of the default policy', (t) => {
  t.diagnostic(`seed ${SEED}`);
  const overcommittingPolicy: Policy = {
    ...defaultPolicy,
    batch: (round) => {
      const worker = round.partition.workerTable.workers[0];
      for (const team of round.partition.teams.values()) {
        for (const job of team.queue.listOldest(4)) {
          if (worker !== undefined) round.startNext(job, worker, 'ignores capacity');
        }
      }
    },
  };
  expect(countViolations(overcommittingPolicy)).toBeGreaterThan(0);
  expect(countViolations(defaultPolicy)).toEqual(0);
});
