import type { JobSpec } from '@acaciahoist/types/job-spec';
import type { Arrival } from './arrival.js';
import { createFamilies } from './create-families.js';
import { createWorkers } from './create-workers.js';
import { Random } from '@acaciahoist/random';
import type { Workload } from './workload.js';
import type { WorkloadFamily } from './workload-family.js';

const TEAMS = 21;
/** Running tasks per worker; 2,200 of 11,000 running tasks are those of services. */
const SERVICE_TASKS_PER_WORKER = 2.8;
const BATCH_TASKS_PER_WORKER = 9;
/** Share of gangs in the load without services. */
const GANG_LOAD_SHARE = 0.1;
const URGENT_JOBS_PER_SECOND_PER_WORKER = 0.005;
const SCHEDULED_JOBS_PER_SECOND = 0.2;
const BROKEN_JOBS_PER_SECOND = 0.05;
/** Size of a burst as a share of the cell's capacity. */
const BURST_SIZE = 0.2;
/** Time from the submission of a scheduled job to its start time. */
const SCHEDULED_AHEAD_MS = 20_000;

interface Settings {
  seed: number;
  workers: number;
  /** Offered load as a share of the capacity, as admission counts it. */
  load: number;
  durationMs: number;
  warmUpMs: number;
  /** Wall time at which the simulation starts. */
  startWallMs: number;
}

function createSpec(family: WorkloadFamily, atMs: number, startWallMs: number): JobSpec {
  const { kind, name, team, urgent, tasks, declared, declaredRunMs } = family;
  return {
    family: name,
    user: 'bench',
    team,
    kind,
    groups: [{ name: 'all', count: tasks, resources: declared }],
    ...(kind === 'service' ? {} : { runMs: declaredRunMs }),
    ...(family.scheduled ? { startAtMs: startWallMs + atMs + SCHEDULED_AHEAD_MS } : {}),
    urgent,
    repeatable: true,
  };
}

/** Accelerators of each kind in the cell divided by the number of its workers. */
const MEAN_ACCELERATORS_PER_WORKER = 0.8;

/**
 * Size of one job in each resource as admission counts it, in units of the cell's mean capacity per worker.
 */
function computeSize({ declared, tasks, sizeFactor }: WorkloadFamily): number[] {
  const factor = tasks * Math.max(1, sizeFactor);
  const { large = 0, small = 0 } = declared.accelerators;
  return [
    (factor * declared.millicores) / 32_000,
    (factor * declared.memoryMib) / 65_536,
    (tasks * large) / MEAN_ACCELERATORS_PER_WORKER,
    (tasks * small) / MEAN_ACCELERATORS_PER_WORKER,
  ];
}

/** A family with the arrival rate of its jobs. */
interface Stream {
  family: WorkloadFamily;
  perSecond: number;
}

/**
 * Computes arrival rates of the families that together give `load` in the scarcest resource. Each family
 * has about the same share of its team's load; `weights` are the relative loads of the teams.
 */
function createStreams(
  families: readonly WorkloadFamily[],
  weights: ReadonlyMap<string, number>,
  load: number,
  workers: number,
): Stream[] {
  const loadByResource: number[] = [];
  const streams = families.map((family) => {
    const size = computeSize(family);
    const costMs = Math.max(...size) * family.declaredRunMs * family.runFactor;
    const perSecond = (weights.get(family.team) ?? 1) / costMs;
    size.forEach((amount, i) => {
      const runMs = family.declaredRunMs * family.runFactor;
      loadByResource[i] = (loadByResource[i] ?? 0) + (amount * runMs * perSecond) / 1_000;
    });
    return { family, perSecond };
  });
  const factor = (load * workers) / Math.max(...loadByResource);
  return streams.map(({ family, perSecond }) => ({ family, perSecond: perSecond * factor }));
}

/** Mean number of running tasks, by Little's law. */
function countRunningTasks(streams: readonly Stream[]): number {
  return streams.reduce(
    (sum, { family, perSecond }) =>
      sum + (perSecond * family.tasks * family.declaredRunMs * family.runFactor) / 1_000,
    0,
  );
}

/** Scales the declared sizes so that `BATCH_TASKS_PER_WORKER` tasks run on each worker at this load. */
function scaleSizes(streams: readonly Stream[], workers: number): void {
  const factor = countRunningTasks(streams) / (BATCH_TASKS_PER_WORKER * workers);
  for (const { family } of streams) {
    const { millicores, memoryMib, accelerators } = family.declared;
    family.declared = {
      millicores: Math.min(8_000, Math.ceil(millicores * factor)),
      memoryMib: Math.min(16_384, Math.ceil(memoryMib * factor)),
      accelerators,
    };
    // No task uses more than half of a worker, which has 32 cores and 64 GiB.
    const largest = Math.min(
      16_000 / family.declared.millicores,
      32_768 / family.declared.memoryMib,
    );
    family.sizeFactor = Math.min(family.sizeFactor, largest);
  }
}

/** Generates workers, teams, jobs, worker failures and cancellations from the seed. */
export function createWorkload(settings: Settings): Workload {
  const { seed, workers, load, durationMs, warmUpMs, startWallMs } = settings;
  const random = Random.create(seed);
  const workerSpecs = createWorkers(workers);
  const teamNames = Array.from({ length: TEAMS }, (_, i) => `team-${i}`);
  const weights = teamNames.map(() => random.integer(2, 8));
  const weightSum = weights.reduce((sum, weight) => sum + weight, 0);
  const teams = teamNames.map((name, i) => ({
    name,
    quotaPerMille: Math.round(((weights[i] ?? 1) * 1_000) / weightSum),
  }));
  const families = createFamilies(random, teamNames);
  const select = (test: (family: WorkloadFamily) => boolean) => families.filter(test);
  const serviceFamilies = select((family) => family.kind === 'service');
  const batchFamilies = select(
    (family) => family.kind === 'batch' && !family.urgent && !family.scheduled,
  );
  const gangFamilies = select((family) => family.kind === 'gang');
  const arrivals: Arrival[] = [];
  const addJob = (family: WorkloadFamily, atMs: number) => {
    const jobId = `bench.0:${arrivals.length + 1}`;
    arrivals.push({ atMs, jobId, family, spec: createSpec(family, atMs, startWallMs) });
  };
  const addStream = (candidates: readonly WorkloadFamily[], perSecond: number) => {
    let atMs = random.poissonIntervalMs(perSecond);
    while (atMs < durationMs) {
      const family = candidates[random.integer(0, candidates.length - 1)];
      if (family !== undefined) addJob(family, atMs);
      atMs += random.poissonIntervalMs(perSecond);
    }
  };
  // The load of a team is 0.5 to 1.5 times its quota.
  const demands = new Map(
    teamNames.map((name, i) => [name, (weights[i] ?? 1) * (0.5 + random.next())] as const),
  );
  const serviceJobCount = Math.round((workers * SERVICE_TASKS_PER_WORKER) / 10);
  let serviceSize = 0;
  for (let i = 0; i < serviceJobCount; i += 1) {
    const family = serviceFamilies[i % serviceFamilies.length];
    if (family === undefined) continue;
    addJob(family, 0);
    serviceSize += Math.max(...computeSize(family));
  }
  const workingBatchFamilies = batchFamilies.filter((family) => !family.broken);
  const loadWithoutServices = load - serviceSize / workers;
  const batchLoad = loadWithoutServices * (1 - GANG_LOAD_SHARE);
  scaleSizes(createStreams(workingBatchFamilies, demands, batchLoad, workers), workers);
  const streams = [
    ...createStreams(workingBatchFamilies, demands, batchLoad, workers),
    ...createStreams(gangFamilies, demands, loadWithoutServices * GANG_LOAD_SHARE, workers),
  ];
  for (const { family, perSecond } of streams) addStream([family], perSecond);
  addStream(
    select((family) => family.urgent),
    URGENT_JOBS_PER_SECOND_PER_WORKER * workers,
  );
  addStream(
    select((family) => family.scheduled),
    SCHEDULED_JOBS_PER_SECOND,
  );
  addStream(
    select((family) => family.broken),
    BROKEN_JOBS_PER_SECOND,
  );
  // Bursts of batch jobs; at 90% load each one exceeds the capacity.
  for (const part of [0.4, 0.6, 0.8]) {
    let size = 0;
    while (size < BURST_SIZE * workers) {
      const family = workingBatchFamilies[random.integer(0, workingBatchFamilies.length - 1)];
      if (family === undefined) break;
      addJob(family, durationMs * part);
      size += Math.max(...computeSize(family));
    }
  }
  arrivals.sort((left, right) => left.atMs - right.atMs);
  const pickWorker = () => workerSpecs[random.integer(0, workerSpecs.length - 1)]?.address ?? '';
  return {
    seed,
    durationMs,
    warmUpMs,
    workers: workerSpecs,
    teams,
    arrivals,
    workerFailures: [0.3, 0.45, 0.5, 0.65, 0.8].map((part) => ({
      atMs: durationMs * part,
      worker: pickWorker(),
    })),
    cancellations: [0.5, 0.75].map((part) => ({ atMs: durationMs * part, jobs: workers / 4 })),
    faultyWorkers: new Set([pickWorker(), pickWorker()]),
  };
}
