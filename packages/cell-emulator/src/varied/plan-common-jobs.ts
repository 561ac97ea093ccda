import type { Random } from '@acaciahoist/random';
import { scheduleTimes } from './schedule-times.js';
import type { SchedulePlan } from './schedule-plan.js';

const JOB_COUNT = 14;

/** Plans small jobs with and without gangs, dependencies, advice and failing runs. */
export function planCommonJobs(plan: SchedulePlan, random: Random): void {
  for (let number = 1; number <= JOB_COUNT; number += 1) {
    const step = {
      count: random.integer(1, 4),
      estimateMs: random.integer(200, 3_000),
      gang: number % 3 === 0,
    };
    const job = plan.createJob(
      [step, ...(number % 2 === 0 ? [{ count: 2, after: [0], millicores: 3_000 }] : [])],
      { advised: number % 4 === 0, payload: number % 5 === 0 ? 'flaky' : 'plain' },
    );
    plan.submitAt(random.integer(0, scheduleTimes.loadEndMs), job, random);
  }
}
