import type { Random } from '@acaciahoist/random';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { listRunningTasks } from './list-running-tasks.js';
import { scheduleTimes } from './schedule-times.js';
import type { SchedulePlan } from './schedule-plan.js';

const MINUTE_MS = 60_000;
/** Time in ms after which an owner has handled the faults of the load. */
const STABLE_MS = scheduleTimes.calmMs + 2_000;
/** Stall limit in ms of the first run of a task with a short estimate; it doubles with each stall. */
const MIN_STALL_MS = 2_500;

/** Plans tasks of minutes to hours, whose progress of whole percents changes rarely; some estimates are far too low. */
export function planLongTasks(plan: SchedulePlan, random: Random): void {
  const { cell } = plan;
  plan.isOccupiedForGood = true;
  const jobCount = random.integer(1, 2);
  for (let number = 0; number < jobCount; number += 1) {
    const isWrong = random.next() < 0.3;
    const estimateMs = isWrong
      ? random.integer(4_000, 40_000)
      : random.integer(5 * MINUTE_MS, 240 * MINUTE_MS);
    const job = plan.createJob([{ estimateMs }], { payload: isWrong ? 'long' : 'plain' });
    plan.endlessJobs.add(job.id);
    plan.submitAt(random.integer(500, scheduleTimes.loadEndMs), job, random);
    let startMs = 0;
    plan.at(STABLE_MS, () => {
      startMs = cell.clock.monotonicMs();
    });
    plan.checks.push(() => {
      if (!cell.acceptedJobs.has(job.id)) return [];
      const stops = cell.history.filter(
        ({ task, how, atMs }) =>
          task.startsWith(job.id) && how === RunEnd.stopped && atMs >= startMs,
      );
      const runningTasks = [...listRunningTasks(cell.history).keys()];
      const isRunning = runningTasks.some((task) => task.startsWith(job.id));
      // The limit doubles until it exceeds the time of one percent, which is the wrong estimate.
      const maxStops = isWrong ? 1 + Math.ceil(Math.log2(estimateMs / MIN_STALL_MS)) : 0;
      return [
        ...(stops.length > maxStops
          ? [`long job ${job.id} is stopped ${stops.length} times, not ${maxStops}`]
          : []),
        ...(isRunning ? [] : [`long job ${job.id} does not run at the end`]),
      ];
    });
  }
}
