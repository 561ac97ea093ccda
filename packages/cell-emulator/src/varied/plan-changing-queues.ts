import type { Random } from '@acaciahoist/random';
import type { CellQueue } from '@acaciahoist/cell-types/cell-queue';
import { scheduleTimes } from './schedule-times.js';
import type { SchedulePlan } from './schedule-plan.js';

/** Prefixes of which some extend others. */
const PREFIXES = ['/a/', '/a/b/', '/a/b/c/', '/a/b-', '/ab/', '/other/'];
const QUERY_INTERVAL_MS = 1_000;
const UNKNOWN_STATUSES: readonly number[] = [404, 410];

/**
 * Plans queues that are added, renamed and removed while their jobs run. Clients query each accepted job by the path
 * under which they submitted it.
 */
export function planChangingQueues(plan: SchedulePlan, random: Random): void {
  const { cell } = plan;
  const problems: string[] = [];
  const paths = new Map<string, string>();
  let queues: CellQueue[] = [];
  const addQueue = (): void => {
    const free = PREFIXES.filter((prefix) => !queues.some((queue) => queue.prefix === prefix));
    const prefix = free[random.integer(0, free.length - 1)];
    if (prefix === undefined) return;
    const { queue: terms } = plan.createJob([]);
    queues = [...queues, { host: 'h', prefix, terms, isPublic: true }];
  };
  const removeQueue = (): void => {
    const index = random.integer(0, queues.length - 1);
    queues = queues.filter((_queue, position) => position !== index);
  };
  const renameQueue = (): void => {
    removeQueue();
    addQueue();
  };
  const changes = [addQueue, removeQueue, renameQueue];
  plan.at(0, () => {
    addQueue();
    addQueue();
    addQueue();
    plan.publish({ queues });
  });
  const changeCount = random.integer(2, 4);
  for (let change = 0; change < changeCount; change += 1) {
    const apply = changes[random.integer(0, changes.length - 1)];
    plan.at(random.integer(3_000, scheduleTimes.loadEndMs + 4_000), () => {
      apply?.();
      plan.publish({ queues });
    });
  }
  for (let number = 0; number < 8; number += 1) {
    const job = plan.createJob([{ estimateMs: random.integer(2_000, 15_000) }]);
    const process = `p${random.integer(0, 2)}`;
    const queueNumber = random.integer(0, 5);
    plan.at(random.integer(1_000, scheduleTimes.loadEndMs), () => {
      const queue = queues[queueNumber % queues.length];
      if (queue === undefined) return;
      paths.set(job.id, `${queue.prefix}${job.id}`);
      plan.submit(job, process);
    });
  }
  plan.samples.push((elapsedMs) => {
    if (elapsedMs % QUERY_INTERVAL_MS !== 0) return;
    for (const process of cell.processes)
      for (const [id, path] of paths)
        if (process.isUp && !process.clock.isStopped && cell.acceptedJobs.has(id))
          void plan.requestJob(process, path).then((status) => {
            if (UNKNOWN_STATUSES.includes(status))
              problems.push(`${process.name} answers ${status} for ${path} at ${elapsedMs} ms`);
          });
  });
  plan.checks.push(() => problems.slice(0, 3));
}
