import { cpus, totalmem } from 'node:os';
import { ProcessCell } from '../cell/process-cell.js';
import { capacityDeclaration } from './capacity-declaration.js';
import type { CapacityPoint } from './capacity-point.js';
import type { CapacityReport } from './capacity-report.js';
import { fitCapacity } from './fit-capacity.js';
import { measurePoint } from './measure-point.js';
import { PacedJobs } from './paced-jobs.js';

/** Projected sizes of the cell of one owner; they stay at these values while another size is varied. */
const PROJECTED = { partitions: 28, workers: 28, runners: 5 };
const SIZES = {
  runningTasks: [0, 50, 200, 400],
  startsPerSecond: [0, 2, 6.5, 13],
  workers: [7, 14, 28, 56],
  partitions: [7, 14, 28],
  configurationChangesPerMinute: [0, 20, 60],
};
/** Run time of the jobs that run until the end of the measurement. */
const LONG_RUN_MS = 3_600_000;
const SHORT_RUN_MS = 1_000;
/** Rate at which jobs are submitted until the wanted number of tasks runs. */
const FILL_JOBS_PER_SECOND = 40;
/** Wait before a measurement after the start of a cell or after a change of the running tasks. */
const SETTLE_MS = 1_500;

/**
 * Measures how the cost of one owner of many partitions grows with each size, with real processes on
 * loopback. Takes about 130 s for each repetition.
 */
export async function runCapacityBench(options: {
  seed: number;
  quick?: boolean;
}): Promise<CapacityReport> {
  const { seed, quick = false } = options;
  const repetitions = quick ? 1 : 3;
  const measureMs = quick ? 4_000 : 10_000;
  const points: CapacityPoint[] = [];
  for (let repetition = 1; repetition <= repetitions; repetition += 1) {
    points.push(...(await measureInOneCell(seed, repetition, measureMs)));
    points.push(...(await measureInSeparateCells(seed, repetition, measureMs)));
  }
  const machine = {
    cpus: cpus().length,
    model: cpus()[0]?.model ?? '',
    memoryMib: Math.round(totalmem() / 1_048_576),
    node: process.version,
  };
  return { seed, machine, repetitions, measureMs, points, fits: fitCapacity(points) };
}

/** Measures the slopes that need only one cell of the projected size; its state grows from point to point. */
async function measureInOneCell(
  seed: number,
  repetition: number,
  measureMs: number,
): Promise<CapacityPoint[]> {
  const { partitions } = PROJECTED;
  const points: CapacityPoint[] = [];
  await withCell(seed, PROJECTED, async (cell, jobs) => {
    for (const size of SIZES.configurationChangesPerMinute) {
      const variation = { slope: 'configurationChangesPerMinute', size, repetition };
      points.push(
        await measurePoint(cell, partitions, variation, () => publishAtRate(cell, size, measureMs)),
      );
    }
    for (const size of SIZES.startsPerSecond) {
      const variation = { slope: 'startsPerSecond', size, repetition };
      if (size > 0) await jobs.submitAtRate(size, 2 * SHORT_RUN_MS, SHORT_RUN_MS);
      points.push(
        await measurePoint(cell, partitions, variation, () =>
          jobs.submitAtRate(size, measureMs, SHORT_RUN_MS),
        ),
      );
    }
    let requestedTasks = 0;
    for (const size of SIZES.runningTasks) {
      const missingTasks = size - requestedTasks;
      requestedTasks = size;
      if (missingTasks > 0) {
        await jobs.submitAtRate(
          FILL_JOBS_PER_SECOND,
          (missingTasks * 1_000) / FILL_JOBS_PER_SECOND,
          LONG_RUN_MS,
        );
      }
      await cell.pause(SETTLE_MS);
      const variation = { slope: 'runningTasks', size, repetition };
      points.push(await measurePoint(cell, partitions, variation, () => cell.pause(measureMs)));
    }
  });
  return points;
}

/** Measures the slopes that need a separate cell for each point, at 6.5 starts a second. */
async function measureInSeparateCells(
  seed: number,
  repetition: number,
  measureMs: number,
): Promise<CapacityPoint[]> {
  const points: CapacityPoint[] = [];
  for (const slope of ['workers', 'partitions'] as const) {
    for (const size of SIZES[slope]) {
      const sizes = { ...PROJECTED, [slope]: size };
      await withCell(seed, sizes, async (cell, jobs) => {
        await jobs.submitAtRate(6.5, 2 * SHORT_RUN_MS, SHORT_RUN_MS);
        const variation = { slope, size, repetition };
        points.push(
          await measurePoint(cell, sizes.partitions, variation, () =>
            jobs.submitAtRate(6.5, measureMs, SHORT_RUN_MS),
          ),
        );
      });
    }
  }
  return points;
}

async function withCell(
  seed: number,
  sizes: typeof PROJECTED,
  use: (cell: ProcessCell, jobs: PacedJobs) => Promise<void>,
): Promise<void> {
  const cell = await ProcessCell.create({
    entries: ['dc'],
    user: 'u',
    declaration: capacityDeclaration(sizes.partitions),
    standIn: {
      seed,
      dataCentres: ['dc'],
      vmList: { lagMs: 100 },
      workers: { count: sizes.workers },
      runners: { count: sizes.runners, services: ['lookup'] },
    },
  });
  const jobs = PacedJobs.create(cell);
  try {
    await cell.pause(SETTLE_MS);
    await use(cell, jobs);
  } finally {
    await jobs.close();
    await cell.stop();
  }
}

/** Publishes changed configurations at an even rate for `durationMs`. */
async function publishAtRate(
  cell: ProcessCell,
  perMinute: number,
  durationMs: number,
): Promise<void> {
  const { clock } = cell;
  const listen = cell.entryProcesses[0]?.listen ?? '';
  const endMs = clock.monotonicMs() + durationMs;
  for (let changeNumber = 1; perMinute > 0 && clock.monotonicMs() < endMs; changeNumber += 1) {
    const { body } = await cell.call(listen, '/configuration');
    const { revision } = body as { revision: number };
    const text = JSON.stringify(capacityDeclaration(PROJECTED.partitions, changeNumber));
    const published = await cell.call(listen, '/configuration', { baseRevision: revision, text });
    if (published.status !== 200) {
      throw new Error(
        `configuration change ${changeNumber} on revision ${revision} was not published: ` +
          JSON.stringify(published.body),
      );
    }
    await cell.pause(60_000 / perMinute);
  }
  await cell.pause(Math.max(0, endMs - clock.monotonicMs()));
}
