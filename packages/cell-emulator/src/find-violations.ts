import type { CellJob } from '@acaciahoist/cell-types';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { taskName } from '@acaciahoist/cell-state/task-name';
import type { HistoryEvent } from './history-event.js';

interface Options {
  history: readonly HistoryEvent[];
  jobs: ReadonlyMap<string, CellJob>;
  /** Room of every worker in millicores. */
  workerMillicores: number;
  /** Time of the acknowledged cancel by job. */
  cancelledMs: ReadonlyMap<string, number>;
  /** Jobs whose submission was refused as not run every time. */
  refusedJobs: ReadonlySet<string>;
}

/** Time in ms within which starts may still follow a cancel. */
const MAX_START_AFTER_CANCEL_MS = 3_000;

/** Time in ms within which a run that an order started late, after the cancel, is stopped: 3 s and the stop. */
const MAX_LATE_RUN_MS = 3_200;

/**
 * Checks what the workers saw against the promises: no task runs twice at once, none starts after it was
 * done or before the steps before it, no worker is over its room, and nothing starts that was refused,
 * cancelled or never sent.
 */
export function findViolations(options: Options): string[] {
  const violations: string[] = [];
  const running = new Map<string, HistoryEvent>();
  const done = new Set<string>();
  // An end that was never acknowledged may be forgotten with its worker; the task then runs again.
  const acknowledged = new Set(
    options.history
      .filter((event) => event.kind === 'noted')
      .map((event) => `${event.task}/${event.run}`),
  );
  const doneAndAcknowledged = new Set<string>();
  const load = new Map<string, number>();
  for (const event of options.history) {
    const ref = taskName.parse(event.task);
    const job = ref && options.jobs.get(ref.job);
    const step = ref && job?.steps[ref.step];
    if (ref === undefined || job === undefined || step === undefined) {
      violations.push(`${event.task} was never sent`);
      continue;
    }
    if (event.kind === 'noted') continue;
    const change = event.kind === 'started' ? step.millicores : -step.millicores;
    const total = (load.get(event.worker) ?? 0) + change;
    load.set(event.worker, total);
    if (event.kind === 'ended') {
      running.delete(event.task);
      if (event.how === RunEnd.done) {
        done.add(event.task);
        if (acknowledged.has(`${event.task}/${event.run}`)) doneAndAcknowledged.add(event.task);
      }
      continue;
    }
    const other = running.get(event.task);
    const description = `${event.task} run ${event.run} at ${event.atMs} ms`;
    if (other !== undefined) violations.push(`${description} runs beside run ${other.run}`);
    if (doneAndAcknowledged.has(event.task))
      violations.push(`${description} starts after it was done`);
    if (total > options.workerMillicores)
      violations.push(`${description} is over the room of ${event.worker}`);
    const cancelledMs = options.cancelledMs.get(ref.job) ?? Number.POSITIVE_INFINITY;
    if (event.sentMs > cancelledMs + MAX_START_AFTER_CANCEL_MS)
      violations.push(`${description} is started after its cancel`);
    if (
      event.atMs > cancelledMs + MAX_START_AFTER_CANCEL_MS &&
      !isStoppedInTime(options.history, event)
    )
      violations.push(`${description} starts late after its cancel and runs on`);
    if (options.refusedJobs.has(ref.job))
      violations.push(`${description} starts though its job was refused`);
    for (const before of step.after) {
      const earlier = job.steps[before];
      for (let index = 0; index < (earlier?.count ?? 0); index += 1) {
        if (!done.has(taskName.format({ ...ref, step: before, index })))
          violations.push(`${description} starts before step ${before} is done`);
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
