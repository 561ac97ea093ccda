import type { CellJob } from '@acaciahoist/cell-types';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { taskName } from '@acaciahoist/cell-state/task-name';
import type { HistoryEvent } from './history-event.js';

interface Options {
  history: readonly HistoryEvent[];
  jobs: ReadonlyMap<string, CellJob>;
  /** Processor capacity of each worker in millicores. */
  workerMillicores: number;
  /** Time at which the cancel was acknowledged, by job. */
  cancelledMs: ReadonlyMap<string, number>;
  /** Jobs of which every submission was answered as refused and not run. */
  refusedJobs: ReadonlySet<string>;
}

/** Time in ms after a cancel within which a start may still be sent and executed. */
const MAX_START_AFTER_CANCEL_MS = 3_000;

/** Time in ms within which a run must end that a late order has started after the cancel: 3 s and the stop. */
const MAX_LATE_RUN_MS = 3_200;

/**
 * Checks the history of the workers against the guarantees of the cell: a task has one run at a time, and
 * does not start after it is done or before the steps that it depends on; no worker exceeds its capacity;
 * no task of a refused, cancelled or unknown job starts. Returns a description of each violation.
 */
export function findViolations(options: Options): string[] {
  const violations: string[] = [];
  const running = new Map<string, HistoryEvent>();
  const done = new Set<string>();
  // The end of a run that was never acknowledged can be lost with its worker; the task then runs again.
  const acknowledged = new Set(
    options.history
      .filter((event) => event.kind === 'noted')
      .map((event) => `${event.task}/${event.run}`),
  );
  const doneAndAcknowledged = new Set<string>();
  const usedMillicores = new Map<string, number>();
  for (const event of options.history) {
    const ref = taskName.parse(event.task);
    const job = ref && options.jobs.get(ref.job);
    const step = ref && job?.steps[ref.step];
    if (ref === undefined || job === undefined || step === undefined) {
      violations.push(`${event.task} belongs to no submitted job`);
      continue;
    }
    if (event.kind === 'noted') continue;
    const change = event.kind === 'started' ? step.millicores : -step.millicores;
    const total = (usedMillicores.get(event.worker) ?? 0) + change;
    usedMillicores.set(event.worker, total);
    if (event.kind === 'ended') {
      running.delete(event.task);
      if (event.how === RunEnd.done) {
        done.add(event.task);
        if (acknowledged.has(`${event.task}/${event.run}`)) doneAndAcknowledged.add(event.task);
      }
      continue;
    }
    const earlierRun = running.get(event.task);
    const description = `${event.task} run ${event.run} at ${event.atMs} ms`;
    if (earlierRun !== undefined)
      violations.push(`${description} starts while run ${earlierRun.run} is running`);
    if (doneAndAcknowledged.has(event.task))
      violations.push(`${description} starts after the task was done`);
    if (total > options.workerMillicores)
      violations.push(`${description} exceeds the capacity of ${event.worker}`);
    const cancelledMs = options.cancelledMs.get(ref.job) ?? Number.POSITIVE_INFINITY;
    if (event.sentMs > cancelledMs + MAX_START_AFTER_CANCEL_MS)
      violations.push(`${description} was sent after the job was cancelled`);
    if (
      event.atMs > cancelledMs + MAX_START_AFTER_CANCEL_MS &&
      !isStoppedInTime(options.history, event)
    )
      violations.push(`${description} starts late after the job was cancelled and is not stopped`);
    if (options.refusedJobs.has(ref.job))
      violations.push(`${description} starts although its job was refused`);
    for (const dependency of step.after) {
      const dependencyStep = job.steps[dependency];
      for (let index = 0; index < (dependencyStep?.count ?? 0); index += 1) {
        if (!done.has(taskName.format({ ...ref, step: dependency, index })))
          violations.push(`${description} starts before step ${dependency} is done`);
      }
    }
    running.set(event.task, event);
  }
  return [...new Set(violations)];
}

function isStoppedInTime(history: readonly HistoryEvent[], started: HistoryEvent): boolean {
  const { task, run, worker, atMs } = started;
  return history.some(
    (event) =>
      event.kind === 'ended' &&
      event.task === task &&
      event.run === run &&
      event.worker === worker &&
      event.atMs <= atMs + MAX_LATE_RUN_MS,
  );
}
