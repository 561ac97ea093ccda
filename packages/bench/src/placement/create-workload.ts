import type { JobSpec } from '@acaciahoist/types/job-spec';
import type { Arrival } from './arrival.js';
import { createFamilies } from './create-families.js';
import { createWorkers } from './create-workers.js';
import { Random } from '@acaciahoist/random';
import type { Workload } from './workload.js';
import type { WorkloadFamily } from './workload-family.js';

const TEAMS = 21;
/** Running tasks per worker: 2,200 services of 11,000 tasks; part of the load that gangs make. */
const SERVICE_TASKS_PER_WORKER = 2.8;
const BATCH_TASKS_PER_WORKER = 9;
const GANG_LOAD = 0.1;
/** Urgent jobs a second and worker. */
const URGENT_RATE = 0.005;
const SCHEDULED_RATE = 0.2;
const BROKEN_RATE = 0.05;
/** Size of a burst as a part of the cell. */
const BURST = 0.2;
/** Scheduled jobs arrive this long before their date, ms. */
const SCHEDULED_AHEAD_MS = 20_000;

interface Settings {
  seed: number;
  workers: number;
  /** Offered load as a part of the capacity, by what admission counts. */
  load: number;
  durationMs: number;
  warmUpMs: number;
  /** Wall time of the start. */
  startWallMs: number;
}

function toSpec(family: WorkloadFamily, atMs: number, startWallMs: number): JobSpec {
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

/** Accelerators of one kind per worker of the cell. */
const ACCELERATORS_PER_WORKER = 0.8;

/** What one job takes by what admission counts, as parts of what the cell has per worker. */
function sizeOf({ declared, tasks, sizeFactor }: WorkloadFamily): number[] {
  const factor = tasks * Math.max(1, sizeFactor);
  const { large = 0, small = 0 } = declared.accelerators;
  return [
    (factor * declared.millicores) / 32_000,
    (factor * declared.memoryMib) / 65_536,
    (tasks * large) / ACCELERATORS_PER_WORKER,
    (tasks * small) / ACCELERATORS_PER_WORKER,
  ];
}

/** A family with the jobs that arrive of it in a second. */
interface Stream {
  family: WorkloadFamily;
  perSecond: number;
}

/**
 * Jobs a second of each family that together give the load in the scarcest resource. Each family
 * has about the same part of its team's load, and a team's load is 0.5 to 1.5 times its quota.
 */
function createStreams(
  families: readonly WorkloadFamily[],
  weights: ReadonlyMap<string, number>,
  load: number,
  workers: number,
): Stream[] {
  const sums: number[] = [];
  const streams = families.map((family) => {
    const size = sizeOf(family);
    const costMs = Math.max(...size) * family.declaredRunMs * family.runFactor;
    const perSecond = (weights.get(family.team) ?? 1) / costMs;
    size.forEach((amount, i) => {
      const runMs = family.declaredRunMs * family.runFactor;
      sums[i] = (sums[i] ?? 0) + (amount * runMs * perSecond) / 1_000;
    });
    return { family, perSecond };
  });
  const factor = (load * workers) / Math.max(...sums);
  return streams.map(({ family, perSecond }) => ({ family, perSecond: perSecond * factor }));
}

/** Tasks that run on average. */
function countRunning(streams: readonly Stream[]): number {
  return streams.reduce(
    (sum, { family, perSecond }) =>
      sum + (perSecond * family.tasks * family.declaredRunMs * family.runFactor) / 1_000,
    0,
  );
}

/** Changes the sizes so that the wanted number of tasks runs at this load. */
function scaleSizes(streams: readonly Stream[], workers: number): void {
  const factor = countRunning(streams) / (BATCH_TASKS_PER_WORKER * workers);
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

/** Generates workers, teams, jobs, deaths and cancellations from the seed. */
export function createWorkload(settings: Settings): Workload {
  const { seed, workers, load, durationMs, warmUpMs, startWallMs } = settings;
  const random = Random.create(seed);
  const specs = createWorkers(workers);
  const names = Array.from({ length: TEAMS }, (_, i) => `team-${i}`);
  const weights = names.map(() => random.integer(2, 8));
  const weightSum = weights.reduce((sum, weight) => sum + weight, 0);
  const teams = names.map((name, i) => ({
    name,
    quotaPerMille: Math.round(((weights[i] ?? 1) * 1_000) / weightSum),
  }));
  const families = createFamilies(random, names);
  const of = (test: (family: WorkloadFamily) => boolean) => families.filter(test);
  const services = of((family) => family.kind === 'service');
  const batch = of((family) => family.kind === 'batch' && !family.urgent && !family.scheduled);
  const gangs = of((family) => family.kind === 'gang');
  const arrivals: Arrival[] = [];
  const add = (family: WorkloadFamily, atMs: number) => {
    const jobId = `bench.0:${arrivals.length + 1}`;
    arrivals.push({ atMs, jobId, family, spec: toSpec(family, atMs, startWallMs) });
  };
  const stream = (from: readonly WorkloadFamily[], perSecond: number) => {
    let atMs = random.interval(perSecond);
    while (atMs < durationMs) {
      const family = from[random.integer(0, from.length - 1)];
      if (family !== undefined) add(family, atMs);
      atMs += random.interval(perSecond);
    }
  };
  const demands = new Map(
    names.map((name, i) => [name, (weights[i] ?? 1) * (0.5 + random.next())] as const),
  );
  const serviceJobs = Math.round((workers * SERVICE_TASKS_PER_WORKER) / 10);
  let serviceSize = 0;
  for (let i = 0; i < serviceJobs; i += 1) {
    const family = services[i % services.length];
    if (family === undefined) continue;
    add(family, 0);
    serviceSize += Math.max(...sizeOf(family));
  }
  const sound = batch.filter((family) => !family.broken);
  const rest = load - serviceSize / workers;
  const batchLoad = rest * (1 - GANG_LOAD);
  scaleSizes(createStreams(sound, demands, batchLoad, workers), workers);
  const streams = [
    ...createStreams(sound, demands, batchLoad, workers),
    ...createStreams(gangs, demands, rest * GANG_LOAD, workers),
  ];
  for (const { family, perSecond } of streams) stream([family], perSecond);
  stream(
    of((family) => family.urgent),
    URGENT_RATE * workers,
  );
  stream(
    of((family) => family.scheduled),
    SCHEDULED_RATE,
  );
  stream(
    of((family) => family.broken),
    BROKEN_RATE,
  );
  // Bursts of a few teams; at 90% load each one exceeds the capacity.
  for (const at of [0.4, 0.6, 0.8]) {
    let size = 0;
    while (size < BURST * workers) {
      const family = sound[random.integer(0, sound.length - 1)];
      if (family === undefined) break;
      add(family, durationMs * at);
      size += Math.max(...sizeOf(family));
    }
  }
  arrivals.sort((left, right) => left.atMs - right.atMs);
  const pick = () => specs[random.integer(0, specs.length - 1)]?.address ?? '';
  return {
    seed,
    durationMs,
    warmUpMs,
    workers: specs,
    teams,
    arrivals,
    deaths: [0.3, 0.45, 0.5, 0.65, 0.8].map((part) => ({
      atMs: durationMs * part,
      worker: pick(),
    })),
    cancellations: [0.5, 0.75].map((part) => ({ atMs: durationMs * part, jobs: workers / 4 })),
    faulty: new Set([pick(), pick()]),
  };
}
