import type { Random } from '@acaciahoist/random';
import { findQuotaExcesses } from './find-quota-excesses.js';
import { scheduleTimes } from './schedule-times.js';
import type { SchedulePlan } from './schedule-plan.js';

/** Plans two teams with quotas and shares, and their jobs. */
export function planTeams(plan: SchedulePlan, random: Random): void {
  const quotas = new Map<string, number>();
  const teams = ['blue', 'green'].map((name) => {
    const millicores = random.integer(4_000, 9_000);
    quotas.set(name, millicores);
    const quota = { millicores, memoryMib: 0, accelerators: 0 };
    return { name, keys: [], weight: random.integer(1, 20), quota };
  });
  plan.at(0, () => {
    plan.publish({ teams });
  });
  for (let number = 0; number < 16; number += 1) {
    const step = {
      count: random.integer(1, 4),
      millicores: random.integer(500, 3_000),
      estimateMs: random.integer(200, 3_000),
      gang: number % 4 === 0,
      usesSpareCpu: number % 5 === 1,
    };
    const team = number % 2 === 0 ? 'blue' : 'green';
    // Configurations are in force everywhere after 3 s.
    const atMs = random.integer(3_000, scheduleTimes.loadEndMs);
    const job = { ...plan.createJob([step]), team };
    plan.submitAt(atMs, job, random);
  }
  plan.checks.push(() => findQuotaExcesses(plan.cell, quotas));
}
