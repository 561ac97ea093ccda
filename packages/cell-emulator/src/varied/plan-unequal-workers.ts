import type { Random } from '@acaciahoist/random';
import { scheduleTimes } from './schedule-times.js';
import type { SchedulePlan } from './schedule-plan.js';

const LARGE_WORKER_MILLICORES = 24_000;

/** Plans a worker that is the only one large enough, or the only one with a label, and jobs that need it. */
export function planUnequalWorkers(plan: SchedulePlan, random: Random): void {
  const isLabelled = random.next() < 0.5;
  const properties = {
    millicores: LARGE_WORKER_MILLICORES,
    memoryMib: 32_768,
    labels: isLabelled ? ['a', 'special'] : ['a'],
  };
  plan.at(0, () => plan.cell.addWorker(`w${plan.cell.workers.size}`, undefined, properties));
  const jobCount = random.integer(2, 5);
  for (let number = 0; number < jobCount; number += 1) {
    const step = {
      count: random.integer(1, 2),
      estimateMs: random.integer(300, 2_500),
      millicores: isLabelled ? random.integer(500, 5_000) : random.integer(8_500, 11_000),
      label: isLabelled ? 'special' : '',
    };
    const job = plan.createJob([step], { payload: random.next() < 0.5 ? 'flaky' : 'plain' });
    plan.submitAt(random.integer(500, scheduleTimes.loadEndMs), job, random);
  }
}
