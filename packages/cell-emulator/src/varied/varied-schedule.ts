import { Random } from '@acaciahoist/random';
import { EmulatedCell } from '../emulated-cell.js';
import { faultKinds } from '../fault-kinds.js';
import { injectFault } from '../inject-fault.js';
import type { JobRequest } from './job-request.js';
import { planCommonJobs } from './plan-common-jobs.js';
import { scheduleDimensions } from './schedule-dimensions.js';
import { SchedulePlan } from './schedule-plan.js';
import { scheduleTimes } from './schedule-times.js';
import { StartWaitCheck } from './start-wait-check.js';

const STEP_MS = 20;
const SAMPLE_INTERVAL_MS = 200;
const MAX_FAULTS = 3;
/** Longer than any schedule, so that the outcome of each job is known at its end. */
const RETENTION_MS = 600_000;
const MAX_FAULT_MS = 6_000;

/** Result of a varied schedule. */
interface VariedResult {
  cell: EmulatedCell;
  /** Names of the dimensions and kinds of the faults of the schedule. */
  description: string;
  problems: string[];
}

/**
 * Random schedules of a cell that vary its workers, jobs, queues and teams as well as its faults. Each dimension
 * draws its numbers from a generator of its own.
 */
export const variedSchedule = {
  /** Runs the schedule of a seed. `requestJob` queries jobs by their paths. */
  async run(seed: number, requestJob: JobRequest): Promise<VariedResult> {
    const cell = EmulatedCell.create({ seed, processes: 3, workers: 4, retentionMs: RETENTION_MS });
    await cell.start();
    await cell.advance(2_000);
    const plan = SchedulePlan.create(cell, requestJob);
    planCommonJobs(plan, createRandom(seed, 'common-jobs'));
    const dimensions = scheduleDimensions.filter(
      ({ name, share }) => createRandom(seed, `${name} occurs`).next() < share,
    );
    for (const dimension of dimensions) dimension.plan(plan, createRandom(seed, dimension.name));
    const faults = dimensions.some(({ excludesFaults }) => excludesFaults === true)
      ? []
      : planFaults(plan, createRandom(seed, 'faults'));
    const waitCheck = StartWaitCheck.create(cell);
    plan.samples.push((elapsedMs) => {
      if (elapsedMs >= scheduleTimes.calmMs) waitCheck.sample();
    });
    const listUnfinished = (): string[] =>
      cell.listUnfinishedJobs().filter((id) => !plan.endlessJobs.has(id));
    await execute(plan, listUnfinished);
    const problems = [
      ...cell.listViolations(),
      ...listUnfinished().map((id) => `job ${id} did not end`),
      ...waitCheck.problems.values(),
      ...plan.checks.flatMap((check) => check()),
    ];
    const names = dimensions.map(({ name }) => name);
    return { cell, description: [...names, ...faults].join(' '), problems };
  },
};

/** Plans random faults and returns their kinds. */
function planFaults(plan: SchedulePlan, random: Random): string[] {
  return Array.from({ length: random.integer(0, MAX_FAULTS) }, () => {
    const kind = faultKinds[random.integer(0, faultKinds.length - 1)] ?? 'kill-owner';
    const durationMs = random.integer(200, MAX_FAULT_MS);
    const targetIndex = random.integer(0, 3);
    const atMs = random.integer(0, scheduleTimes.loadEndMs);
    let endFault: ReturnType<typeof injectFault> = () => undefined;
    plan.at(atMs, () => {
      endFault = injectFault(plan.cell, { atMs, durationMs, kind, targetIndex });
    });
    plan.at(atMs + durationMs, () => endFault());
    return kind;
  });
}

/** Runs the actions and samples of a plan up to the end of the schedule. */
async function execute(
  { cell, actions, samples }: SchedulePlan,
  listUnfinished: () => string[],
): Promise<void> {
  const open = [...actions].sort((left, right) => left.atMs - right.atMs);
  const startMs = cell.clock.monotonicMs();
  for (;;) {
    const elapsedMs = cell.clock.monotonicMs() - startMs;
    if (elapsedMs >= scheduleTimes.maxEndMs) return;
    if (elapsedMs >= scheduleTimes.endMs && listUnfinished().length === 0) return;
    // Actions are not awaited: a submission is answered only while the clock advances.
    while (open[0] !== undefined && open[0].atMs <= elapsedMs) open.shift()?.run();
    if (elapsedMs % SAMPLE_INTERVAL_MS === 0) for (const sample of samples) sample(elapsedMs);
    await cell.advance(STEP_MS);
  }
}

/** Creates the generator of a part of a schedule from the seed and the name of the part (32-bit FNV-1a hash). */
function createRandom(seed: number, name: string): Random {
  let hash = 2_166_136_261;
  for (const char of `${seed} ${name}`) hash = Math.imul(hash ^ char.charCodeAt(0), 16_777_619);
  return Random.create(hash);
}
