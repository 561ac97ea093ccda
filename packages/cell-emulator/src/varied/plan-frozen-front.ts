import type { Random } from '@acaciahoist/random';
import { scheduleTimes } from './schedule-times.js';
import type { SchedulePlan } from './schedule-plan.js';

/** Plans a pause of a process that is not the owner, with submissions to it whose jobs are cancelled elsewhere. */
export function planFrozenFront(plan: SchedulePlan, random: Random): void {
  const { cell } = plan;
  const atMs = random.integer(1_000, scheduleTimes.loadEndMs);
  const durationMs = random.integer(2_500, 6_000);
  const choice = random.integer(0, 1);
  let frozen = '';
  const findOther = (): string =>
    cell.processes.find(({ name, isUp, clock }) => name !== frozen && isUp && !clock.isStopped)
      ?.name ?? 'p0';
  plan.at(atMs, () => {
    const fronts = cell.processes.filter(({ process, isUp }) => isUp && !process.isOwner());
    frozen = (fronts[choice] ?? fronts[0])?.name ?? 'p0';
    cell.pause(frozen);
  });
  const jobCount = random.integer(2, 4);
  for (let number = 0; number < jobCount; number += 1) {
    const job = plan.createJob([{ count: 2, estimateMs: 4_000 }]);
    const submitAtMs = atMs + random.integer(10, 1_000);
    plan.at(submitAtMs, () => {
      plan.submit(job, frozen);
    });
    if (random.next() < 0.8)
      plan.at(submitAtMs + random.integer(100, 1_200), () => cell.cancel(job.id, findOther()));
  }
  plan.at(atMs + durationMs, () => cell.resume(frozen));
}
