import type { Random } from '@acaciahoist/random';
import { countPlaces } from './count-places.js';
import { scheduleTimes } from './schedule-times.js';
import type { SchedulePlan } from './schedule-plan.js';

/** Plans a gang that the serving tasks on all workers leave no room for, and jobs of a lower priority. */
export function planGangBesideServing(plan: SchedulePlan, random: Random): void {
  const serving = plan.createJob(
    [
      {
        longRunning: true,
        count: random.integer(2, 4),
        maxPerWorker: 1,
        millicores: random.integer(3_500, 4_000),
        estimateMs: 600_000,
      },
    ],
    { priority: 0 },
  );
  plan.endlessJobs.add(serving.id);
  plan.isOccupiedForGood = true;
  plan.submitAt(random.integer(100, 1_000), serving, random);
  // A worker reserved for it would have no room for a small job.
  const gangMillicores = random.integer(7_200, 8_000);
  // Its value lasts until the end of the schedule, so that its reservation would too.
  const gangEstimateMs = random.integer(30_000, 60_000);
  const gangProcess = `p${random.integer(0, 2)}`;
  plan.at(random.integer(5_000, scheduleTimes.loadEndMs), () => {
    // It would fit if the serving tasks ended.
    const count = countPlaces(plan.cell, gangMillicores);
    const gang = plan.createJob([
      { gang: true, count, millicores: gangMillicores, estimateMs: gangEstimateMs },
    ]);
    plan.endlessJobs.add(gang.id);
    plan.submit(gang, gangProcess);
  });
  for (let number = 0; number < 8; number += 1) {
    const step = { count: random.integer(1, 3), estimateMs: random.integer(500, 5_000) };
    const atMs =
      number % 2 === 0
        ? scheduleTimes.loadEndMs + random.integer(0, 4_000)
        : scheduleTimes.calmMs + random.integer(2_000, 16_000);
    plan.submitAt(atMs, plan.createJob([step], { priority: 2 }), random);
  }
}
