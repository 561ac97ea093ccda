import { Random } from '@acaciahoist/random';
import { adjustCapacity } from './adjust-capacity.js';
import { createOccupancy } from './create-occupancy.js';
import type { PlannedRun } from './planned-run.js';
import type { PlannedTeams } from './planned-teams.js';
import type { PlannedWorker } from './planned-worker.js';
import { plannerFixture } from './planner-fixture.js';
import type { ReadyStep } from './ready-step.js';
import { WorkerImages } from './worker-images.js';

const IMAGES = ['image-a', 'image-b', 'image-c'];

/**
 * Creates a random cell for tests: workers with runs, racks, labels, speeds and different states, and steps of all
 * kinds with tickets, failed runs and teams. The same seed gives the same cell.
 */
export function createRandomCell(seed: number): {
  workers: () => PlannedWorker[];
  steps: readonly ReadyStep[];
  teams: PlannedTeams;
  nowMs: number;
} {
  const random = Random.create(seed);
  const chance = (share: number): boolean => random.next() < share;
  const pick = <Value>(values: readonly Value[]): Value =>
    values[random.integer(0, values.length - 1)] as Value;
  const nowMs = 50_000;
  const load = random.next();
  const hasSpeeds = chance(0.5);
  const hasImages = chance(0.3);
  const createWorker = (number: number): PlannedWorker => {
    const total = {
      millicores: pick([16_000, 32_000, 64_000]),
      memoryMib: pick([32_768, 65_536]),
      accelerators: pick([0, 0, 4]),
    };
    const free = { ...total };
    const runs: PlannedRun[] = [];
    for (let run = random.integer(0, 12); run > 0 && chance(load + 0.3); run -= 1) {
      const usedCapacity = {
        millicores: Math.min(free.millicores, random.integer(500, 9_000)),
        memoryMib: Math.min(free.memoryMib, random.integer(500, 9_000)),
        accelerators: 0,
      };
      adjustCapacity(free, usedCapacity, -1);
      // Coarse times let many runs end together.
      runs.push({ endsInMs: 500 * random.integer(0, 40), usedCapacity });
    }
    const state = random.next();
    const startableBestEffortTasks = chance(0.7) ? Number.POSITIVE_INFINITY : random.integer(0, 2);
    return plannerFixture.createWorker(`w${String(number).padStart(3, '0')}`, {
      service: pick(['work', 'work', 'work', 'other']),
      rack: `r${number % 4}`,
      labels: chance(0.3) ? ['large'] : [],
      total,
      free,
      eventuallyFree: chance(0.9) ? total : { ...total, millicores: total.millicores / 2 },
      listRuns: () => runs,
      acceptsStarts: state < 0.9,
      isOnProbation: state > 0.8 && state < 0.9,
      isLastResort: state > 0.85,
      occupancy: { ...createOccupancy(), startableBestEffortTasks },
      speed: hasSpeeds && chance(0.8) ? 0.5 + random.next() : undefined,
    });
  };
  const templates = Array.from({ length: random.integer(1, 40) }, (_, number) =>
    createWorker(number),
  );
  const teamNames = chance(0.5) ? ['t0', 't1', 't2'] : [];
  const createStep = (number: number): ReadyStep => {
    const count = random.integer(1, 12);
    const priority = random.integer(0, 2);
    const isAdvised = chance(0.6);
    const named = templates.filter(() => chance(0.5)).map(({ id }) => id);
    const allowed = named.filter(() => chance(0.6));
    const failed = [...Array(count).keys()].filter(() => chance(0.05));
    const dueMs = nowMs - random.integer(0, 40_000);
    return plannerFixture.createStep(`${number.toString(16).padStart(4, '0')}.0.0`, {
      queue: {
        ...plannerFixture.createAdvisedQueue(priority),
        service: pick(['work', 'work', 'work', 'other']),
        // With the longer time for each worker a request names fewer workers than the cell has.
        advice: { decisionMs: 100, perWorkerMs: pick([1, 50]), ticketMs: 2_000 },
      },
      step: {
        count,
        image: pick(IMAGES),
        millicores: random.integer(500, 12_000),
        memoryMib: random.integer(500, 12_000),
        accelerators: chance(0.1) ? 1 : 0,
        estimateMs: random.integer(200, 20_000),
        gang: chance(0.4),
        sameRack: chance(0.3),
        maxPerWorker: chance(0.2) ? random.integer(1, 3) : 0,
        label: chance(0.15) ? 'large' : '',
        dataRack: chance(0.2) ? `r${random.integer(0, 3)}` : '',
        usesSpareCpu: chance(0.1),
        tailTargetMs: chance(0.1) ? 100 : 0,
      },
      team: teamNames.length > 0 ? pick([...teamNames, undefined]) : undefined,
      isExcess: chance(0.1),
      failedRuns: new Map(
        failed.map((index) => [
          index,
          {
            workers: templates.filter(() => chance(0.2)).map(({ id }) => id),
            waitingSinceMs: nowMs - random.integer(0, 2_000),
          },
        ]),
      ),
      dueMs,
      objectiveAtMs: dueMs + random.integer(500, 60_000),
      remainingMs: random.integer(200, 20_000),
      hasSuccessors: chance(0.2),
      advice: isAdvised
        ? plannerFixture.createAdvice({
            allowed: new Map(allowed.map((id) => [id, nowMs + random.integer(-500, 2_000)])),
            denied: new Set(named.filter((id) => !allowed.includes(id))),
            isOutstanding: chance(0.2),
            isAnswered: chance(0.8),
          })
        : undefined,
    });
  };
  const steps = Array.from({ length: random.integer(1, 80) }, (_, number) => createStep(number));
  const quota = { millicores: random.integer(20_000, 400_000), memoryMib: 0, accelerators: 0 };
  return {
    steps,
    nowMs,
    teams: plannerFixture.createTeams(
      teamNames.map((name, number) => ({
        name,
        weight: number,
        quota,
        used: { millicores: random.integer(0, 100_000), memoryMib: 0, accelerators: 0 },
      })),
      {
        usedByAll: { millicores: 300_000, memoryMib: 100_000, accelerators: 0 },
        isShort: chance(0.5),
      },
    ),
    workers: () =>
      templates.map((worker) => ({
        ...worker,
        free: { ...worker.free },
        occupancy: { ...worker.occupancy },
        images: hasImages
          ? WorkerImages.create([], new Map([['image-a', new Set(['image-a', 'image-b'])]]))
          : undefined,
      })),
  };
}
