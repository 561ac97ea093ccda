import type { Random } from '@acaciahoist/random';
import { listRunningTasks } from './list-running-tasks.js';
import { scheduleTimes } from './schedule-times.js';
import type { SchedulePlan } from './schedule-plan.js';

const TARGET_MS = 100;
/** Time in ms for which the tail of a serving task may exceed its target without a break. */
const MAX_OVER_TARGET_MS = 4_000;
/** Time in ms before the burst at which the serving task is submitted, so that it is at work. */
const SERVING_LEAD_MS = 8_000;

/** Plans a burst of best-effort tasks while one worker serves. */
export function planBestEffortBurst(plan: SchedulePlan, random: Random): void {
  const { cell } = plan;
  const step = {
    longRunning: true,
    millicores: 4_000,
    memoryMib: 1_024,
    image: 'web',
    tailTargetMs: TARGET_MS,
    estimateMs: 600_000,
  };
  const serving = plan.createJob([step]);
  plan.endlessJobs.add(serving.id);
  plan.isOccupiedForGood = true;
  plan.submitAt(scheduleTimes.calmMs - SERVING_LEAD_MS, serving, random);
  const burstMs = random.integer(3_000, 12_000);
  for (let atMs = 0; atMs < burstMs; atMs += 200) {
    const batch = plan.createJob([
      {
        count: random.integer(1, 3),
        usesSpareCpu: true,
        estimateMs: random.integer(1_000, 20_000),
        memoryMib: 256,
        image: 'batch',
      },
    ]);
    // Best-effort tasks may wait for as long as all workers serve.
    plan.endlessJobs.add(batch.id);
    plan.submitAt(scheduleTimes.calmMs + atMs, batch, random);
  }
  const problems: string[] = [];
  let overSinceMs = Number.POSITIVE_INFINITY;
  plan.samples.push((elapsedMs) => {
    if (elapsedMs < scheduleTimes.calmMs) return;
    const running = listRunningTasks(cell.history);
    const workers = [...running].flatMap(([task, worker]) =>
      task.startsWith(serving.id) ? [worker] : [],
    );
    const tailMs = Math.max(
      0,
      ...workers.map((worker) => cell.workers.get(worker)?.computeTailLatencyMs() ?? 0),
    );
    if (tailMs <= TARGET_MS) overSinceMs = Number.POSITIVE_INFINITY;
    else overSinceMs = Math.min(overSinceMs, elapsedMs);
    if (elapsedMs - overSinceMs > MAX_OVER_TARGET_MS)
      problems.push(`the serving task has a tail of ${tailMs} ms since ${overSinceMs} ms`);
  });
  plan.checks.push(() => problems.slice(0, 1));
}
