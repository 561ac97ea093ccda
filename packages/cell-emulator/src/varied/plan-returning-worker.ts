import type { Random } from '@acaciahoist/random';
import { scheduleTimes } from './schedule-times.js';
import type { SchedulePlan } from './schedule-plan.js';

/** Number of jobs that are submitted around each restart. */
const JOB_COUNT = 24;

/**
 * Plans restarts of workers under their ids and addresses, with a clock that starts at 0, while short jobs are
 * submitted whose tasks start there. After some, the former connections stay open for a while, or the new entry is
 * published late.
 */
export function planReturningWorker(plan: SchedulePlan, random: Random): void {
  const restartCount = random.integer(1, 3);
  for (let number = 0; number < restartCount; number += 1) {
    const id = `w${random.integer(0, 3)}`;
    const atMs = random.integer(1_000, scheduleTimes.loadEndMs);
    const awayMs = random.integer(20, 1_500);
    const cause = random.next() < 0.5 ? 'power-lost' : 'process-ended';
    const entryDelayMs = random.integer(0, 1) * random.integer(1, 3_000);
    plan.at(atMs, () => plan.cell.workers.get(id)?.crash(cause));
    plan.at(atMs + awayMs, () => {
      const former = plan.cell.workers.get(id);
      // Another fault may have restarted the worker.
      if (former?.isUp === false)
        plan.cell.addWorker(id, former.entry.address, former.entry, entryDelayMs);
    });
    for (let job = 0; job < JOB_COUNT; job += 1) {
      const step = {
        count: random.integer(1, 3),
        estimateMs: random.integer(0, 1) * random.integer(1_000, 5_000) + random.integer(100, 800),
      };
      const submitAtMs = Math.max(0, atMs + random.integer(-1_500, awayMs + 1_500));
      plan.submitAt(submitAtMs, plan.createJob([step]), random);
    }
  }
}
