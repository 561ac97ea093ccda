import type { Random } from '@acaciahoist/random';
import { scheduleTimes } from './schedule-times.js';
import type { SchedulePlan } from './schedule-plan.js';

/** Plans jobs that are submitted or become due after the load has ended. */
export function planLateJobs(plan: SchedulePlan, random: Random): void {
  const jobCount = random.integer(3, 8);
  for (let number = 0; number < jobCount; number += 1) {
    const step = {
      count: random.integer(1, 3),
      millicores: random.integer(500, 2_500),
      estimateMs: random.integer(200, 6_000),
    };
    const job = plan.createJob([step], { payload: random.next() < 0.2 ? 'flaky' : 'plain' });
    const lateMs = scheduleTimes.calmMs + random.integer(0, 8_000);
    if (random.next() < 0.5) {
      plan.submitAt(lateMs, job, random);
      continue;
    }
    const repetition = { occurrences: random.integer(1, 2), intervalMs: 3_000 };
    const submitAtMs = random.integer(500, scheduleTimes.loadEndMs);
    const firstRunMs = plan.cell.clock.wallMs() + lateMs;
    plan.submitAt(submitAtMs, { ...job, ...repetition, firstRunMs }, random);
  }
}
