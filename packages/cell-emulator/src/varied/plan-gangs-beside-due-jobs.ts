import type { Random } from '@acaciahoist/random';
import { countPlaces } from './count-places.js';
import { scheduleTimes } from './schedule-times.js';
import type { SchedulePlan } from './schedule-plan.js';

/** A reserved worker has no room for a due job beside a member of the gang. */
const MEMBER_MILLICORES = 7_500;
const DUE_MILLICORES = 2_000;

/** Plans a gang that waits for one busy worker, and jobs that become due meanwhile and would end after its start. */
export function planGangsBesideDueJobs(plan: SchedulePlan, random: Random): void {
  const { cell } = plan;
  const atMs = scheduleTimes.calmMs + random.integer(500, 3_000);
  const busy = plan.createJob([
    { millicores: 6_000, estimateMs: random.integer(8_000, 14_000), count: 1 },
  ]);
  plan.submitAt(atMs, busy, random);
  const process = `p${random.integer(0, 2)}`;
  // With a short estimate, its value would be lost before the busy worker is free.
  const gangEstimateMs = random.integer(2_000, 12_000);
  plan.at(atMs + 500, () => {
    const places = countPlaces(cell, MEMBER_MILLICORES);
    const gang = plan.createJob([
      { gang: true, count: places, millicores: MEMBER_MILLICORES, estimateMs: gangEstimateMs },
    ]);
    if (plan.isOccupiedForGood) plan.endlessJobs.add(busy.id).add(gang.id);
    plan.submit(gang, process);
  });
  const dueCount = random.integer(1, 3);
  for (let number = 0; number < dueCount; number += 1) {
    const due = plan.createJob([
      { millicores: DUE_MILLICORES, estimateMs: random.integer(200, 16_000) },
    ]);
    plan.submitAt(atMs + random.integer(600, 3_000), due, random);
  }
}
