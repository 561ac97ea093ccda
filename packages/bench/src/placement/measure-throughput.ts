import type { Clock } from '@acaciahoist/clock';
import { Placement } from '@acaciahoist/placement';
import { createFamilies } from './create-families.js';
import { createWorkers } from './create-workers.js';
import { Random } from '@acaciahoist/random';
import { TimedCalls } from './timed-calls.js';

interface Settings {
  seed: number;
  workers: number;
  runningTasks: number;
  placements: number;
}

/** Number of tasks that end, and of tasks that are submitted, before each decision. */
const TASKS_PER_DECISION = 24;
/** Placements before the measurement, in which the JIT compiler compiles the core. */
const WARM_UP_PLACEMENTS = 5_000;

/**
 * Measures the placement core in a steady state with a full cell: as fast as possible, tasks end and others
 * are submitted and placed.
 */
export function measureThroughput(settings: Settings, clock: Clock) {
  const random = Random.create(settings.seed);
  const names = Array.from({ length: 21 }, (_, i) => `team-${i}`);
  // Equal quotas: 1,000 per mille over 21 teams.
  const teams = names.map((name) => ({ name, quotaPerMille: 47 }));
  const families = createFamilies(random, names).filter(
    ({ kind, scheduled, broken }) => kind === 'batch' && !scheduled && !broken,
  );
  const core = TimedCalls.create(Placement.create({ teams, seed: settings.seed }), clock);
  for (const worker of createWorkers(settings.workers)) {
    core.call((placement) => {
      placement.addWorker(worker, 0);
    });
  }
  const running: string[] = [];
  let nowMs = 0;
  let submitted = 0;
  const submit = () => {
    const family = families[random.integer(0, families.length - 1)];
    if (family === undefined) return;
    const { name, team, urgent } = family;
    const millicores = random.pickSkewed([500, 1_000, 2_000, 4_000]);
    const resources = { millicores, memoryMib: millicores * 2, accelerators: {} };
    const spec = {
      family: name,
      user: 'bench',
      team,
      kind: 'batch' as const,
      groups: [{ name: 'all', count: 1, resources }],
      runMs: 30_000,
      urgent,
      repeatable: true,
    };
    submitted += 1;
    core.call((placement) => placement.submit(`bench.0:${submitted}`, spec, nowMs, nowMs));
  };
  const decide = () => {
    do {
      for (const decision of core.decide(nowMs, nowMs)) {
        if (decision.type === 'start') running.push(decision.taskId);
      }
    } while (core.call((placement) => placement.hasMore()));
  };
  const advance = () => {
    nowMs += 5;
    while (running.length > settings.runningTasks - TASKS_PER_DECISION) {
      const position = random.integer(0, running.length - 1);
      const taskId = running[position] ?? '';
      const last = running.pop() ?? '';
      if (position < running.length) running[position] = last;
      core.call((placement) => placement.taskEnded(taskId, 'completed', nowMs, nowMs));
    }
    for (let i = 0; i < TASKS_PER_DECISION; i += 1) submit();
    decide();
  };
  while (running.length < settings.runningTasks) advance();
  for (let target = core.starts + WARM_UP_PLACEMENTS; core.starts < target;) advance();
  core.reset();
  while (core.starts < settings.placements) advance();
  const summary = core.summary();
  return {
    workers: settings.workers,
    runningTasks: running.length,
    placementsPerSecond: Math.round(1_000 / summary.coreMsPerStart),
    ...summary,
  };
}
