import type { Random } from '@acaciahoist/random';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { taskName } from '@acaciahoist/cell-state/task-name';
import { listRunningTasks } from './list-running-tasks.js';
import type { SchedulePlan } from './schedule-plan.js';

/** Bound on the age of a lease in ms, with the margins: 8,000 / 0.98 + 300, and the 1 s between two hold calls. */
const LEASE_BOUND_MS = 9_500;
/** Cell time in ms that a change of the owner loses at most: until the successor has applied its claim. */
const CHANGE_MS = 2_500;
/** Time in ms after the loss from which the owner has recorded it, with a margin. */
const RECORDED_AFTER_MS = 2_000;
/** Longest wait in ms for leases that no owner has recorded. */
const UNRECORDED_LEASE_MS = 14_600;

/**
 * Plans the loss of a worker for good shortly before one or several changes of the owner, which must record the end of
 * the runs there in time. Other tasks may precede theirs when the cell is full, so that their next starts have no bound.
 */
export function planLostWorker(plan: SchedulePlan, random: Random): void {
  const { cell } = plan;
  let id = '';
  const jobIds = new Set<string>();
  for (let number = 0; number < 4; number += 1) {
    const job = plan.createJob([{ count: 2, estimateMs: random.integer(15_000, 22_000) }]);
    jobIds.add(job.id);
    plan.submitAt(random.integer(100, 1_500), job, random);
  }
  const lostAtMs = random.integer(3_000, 5_000);
  let lostTasks: string[] = [];
  let startMs = 0;
  let firstLine = 0;
  plan.at(lostAtMs, () => {
    startMs = cell.clock.monotonicMs();
    const running = [...listRunningTasks(cell.history)];
    id = running.find(([task]) => jobIds.has(taskName.jobOf(task)))?.[1] ?? 'w0';
    cell.workers.get(id)?.crash();
    firstLine = cell.logLines.length;
    lostTasks = cell.history.flatMap(({ task, worker, how, atMs }) =>
      how === RunEnd.lost && worker === id && atMs === startMs && jobIds.has(taskName.jobOf(task))
        ? [task]
        : [],
    );
  });
  const changeCount = random.integer(1, 4);
  const firstGapMs = random.integer(200, 5_000);
  let atMs = lostAtMs + firstGapMs;
  for (let change = 0; change < changeCount; change += 1) {
    plan.at(atMs, () => {
      const owner = cell.findOwnerName() ?? '';
      cell.killProcess(owner);
      cell.clock.after(1_000, () => void cell.startProcess(owner));
    });
    atMs += random.integer(4_000, 6_000);
  }
  const boundMs =
    LEASE_BOUND_MS +
    changeCount * CHANGE_MS +
    (firstGapMs < RECORDED_AFTER_MS ? UNRECORDED_LEASE_MS : 0);
  plan.checks.push(() => {
    const endLines = cell.logLines.slice(firstLine).filter((line) => line.includes(' run-ended '));
    return lostTasks.flatMap((task) => {
      const endLine = endLines.find((line) => line.includes(`"${task}"`));
      const waitedMs = Number.parseFloat(endLine ?? 'Infinity') - startMs;
      return waitedMs > boundMs
        ? [`the run of ${task} on lost worker ${id} ends after ${waitedMs} ms, not ${boundMs} ms`]
        : [];
    });
  });
}
