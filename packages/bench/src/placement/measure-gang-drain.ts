import type { Clock } from '@acaciahoist/clock';
import { defaultPolicy } from '@acaciahoist/placement/default-policy';
import { createWorkload } from './create-workload.js';
import { Simulation } from './simulation.js';
import type { WorkloadFamily } from './workload-family.js';

interface Settings {
  seed: number;
  workers: number;
  startWallMs: number;
}

const LOAD = 0.9;
const DURATION_MS = 420_000;
const GANG_AT_MS = 180_000;

/**
 * Measures the wait of a gang that takes half of the cell, in relation to the longest remaining run time of
 * a batch task when the gang is submitted.
 */
export function measureGangDrain({ seed, workers, startWallMs }: Settings, clock: Clock) {
  const baseWorkload = createWorkload({
    seed,
    workers,
    load: LOAD,
    durationMs: DURATION_MS,
    warmUpMs: GANG_AT_MS - 1_000,
    startWallMs,
  });
  // One task for each worker, half as large as the worker, takes half of the cell.
  const resources = { millicores: 16_000, memoryMib: 32_768, accelerators: {} };
  const family: WorkloadFamily = {
    name: 'half-cell',
    team: 'team-0',
    kind: 'gang',
    urgent: false,
    scheduled: false,
    tasks: workers,
    declared: resources,
    declaredRunMs: 20_000,
    sizeFactor: 1,
    runFactor: 1,
    broken: false,
  };
  const spec = {
    family: family.name,
    user: 'bench',
    team: family.team,
    kind: family.kind,
    groups: [{ name: 'all', count: workers, resources }],
    runMs: family.declaredRunMs,
    urgent: false,
    repeatable: true,
  };
  const gang = { atMs: GANG_AT_MS, jobId: 'bench.0:half-cell', family, spec };
  const otherArrivals = baseWorkload.arrivals.filter((arrival) => arrival.family.kind !== 'gang');
  const arrivals = [...otherArrivals, gang].sort((left, right) => left.atMs - right.atMs);
  const simulation = Simulation.create(
    { ...baseWorkload, arrivals, workerFailures: [], cancellations: [] },
    defaultPolicy,
    clock,
    startWallMs,
  );
  const result = simulation.run();
  const { longestRemainingBatchMs } = simulation;
  return {
    workers,
    tasks: workers,
    started: result.gangsStarted === 1,
    waitMs: result.waitP99Ms.gang,
    longestRunningBatchMs: Math.round(longestRemainingBatchMs),
    waitByDrain: result.waitP99Ms.gang / Math.max(1, longestRemainingBatchMs),
    violations: result.violations,
  };
}
