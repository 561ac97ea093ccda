import type { CellJob } from '@acaciahoist/cell-types';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { taskName } from '@acaciahoist/cell-state/task-name';
import type { HistoryEvent } from './history-event.js';

interface Options {
  history: readonly HistoryEvent[];
  /** All submitted jobs by their id. */
  jobs: ReadonlyMap<string, CellJob>;
  /** Returns the processor capacity of a worker in millicores; all incarnations of a worker have the same. */
  findWorkerMillicores: (worker: string) => number;
  /** Time at which the cancel of a job was acknowledged, by job id. */
  cancelledAtMs: ReadonlyMap<string, number>;
  /** Ids of the jobs that no process accepted and whose last submission was refused: their tasks must not run. */
  refusedJobs: ReadonlySet<string>;
}

/** Time in ms after a cancel within which a start may still be sent and executed. */
const MAX_START_AFTER_CANCEL_MS = 3_000;

/** Time in ms after the acknowledged end of a task that is done within which its copy may still start. */
const MAX_COPY_START_AFTER_END_MS = 1_000;

/** Maximum duration in ms of a run that a late start began after the cancel: 3 s, and 200 ms for the stop. */
const MAX_LATE_RUN_MS = 3_200;

/**
 * Checks the history of the workers against the guarantees of the cell: a task has one run at a time, or two on
 * different workers if it is speculative, and does not start after it is done or before the steps that it depends on;
 * no worker exceeds its capacity; all members of a gang resume from the same checkpoint;
 * no task of a refused, cancelled or unknown job starts. Returns a description of each violation.
 */
export function findViolations(options: Options): string[] {
  const violations: string[] = [];
  /** Events with which the runs that go on started, by task. */
  const runningStarts = new Map<string, readonly HistoryEvent[]>();
  const doneTasks = new Set<string>();
  // The end of a run that was never acknowledged can be lost with its worker; the task then runs again.
  const acknowledgedAtMs = new Map(
    options.history
      .filter((event) => event.kind === 'acknowledged')
      .map((event) => [`${event.task}/${event.run}`, event.atMs]),
  );
  /** Earliest time at which the end of a run that was done is acknowledged, by task. */
  const doneAcknowledgedAtMs = new Map<string, number>();
  /** Processor capacity that the current runs of a worker use, by worker. */
  const usedMillicores = new Map<string, number>();
  /** Checkpoint from which a run of a gang resumes, by step and run. */
  const gangCheckpoints = new Map<string, string>();
  for (const event of options.history) {
    const ref = taskName.parse(event.task);
    const job = ref && options.jobs.get(ref.job);
    const step = ref && job?.steps[ref.step];
    if (ref === undefined || job === undefined || step === undefined) {
      violations.push(`${event.task} belongs to no submitted job`);
      continue;
    }
    if (event.kind === 'acknowledged') continue;
    // A best-effort task takes no processors from the capacity of its worker.
    const demandMillicores = step.usesSpareCpu ? 0 : step.millicores;
    const change = event.kind === 'started' ? demandMillicores : -demandMillicores;
    const usedAtWorker = (usedMillicores.get(event.worker) ?? 0) + change;
    usedMillicores.set(event.worker, usedAtWorker);
    if (event.kind === 'ended') {
      const goingOn = runningStarts.get(event.task)?.filter(({ run }) => run !== event.run) ?? [];
      runningStarts.set(event.task, goingOn);
      if (event.how === RunEnd.done) {
        doneTasks.add(event.task);
        const endAcknowledgedAtMs = acknowledgedAtMs.get(`${event.task}/${event.run}`);
        if (endAcknowledgedAtMs !== undefined && !doneAcknowledgedAtMs.has(event.task))
          doneAcknowledgedAtMs.set(event.task, endAcknowledgedAtMs);
      }
      continue;
    }
    const earlierRuns = runningStarts.get(event.task) ?? [];
    const mayHaveCopy = step.speculative && !step.gang && !step.longRunning;
    const isCopy =
      mayHaveCopy && earlierRuns.length === 1 && earlierRuns[0]?.worker !== event.worker;
    const runDescription = `${event.task} run ${event.run} at ${event.atMs} ms`;
    if (earlierRuns.length > 0 && !isCopy)
      violations.push(
        `${runDescription} starts while run ${earlierRuns.map(({ run }) => run).join(' and ')} is running`,
      );
    const doneAtMs = doneAcknowledgedAtMs.get(event.task) ?? Number.POSITIVE_INFINITY;
    if (
      step.speculative
        ? event.atMs > doneAtMs + MAX_COPY_START_AFTER_END_MS
        : Number.isFinite(doneAtMs)
    )
      violations.push(`${runDescription} starts after the task was done`);
    const gangRun = `${event.task.slice(0, event.task.lastIndexOf('.'))}/${event.run}`;
    const checkpoint = event.checkpoint ?? '';
    if (step.gang && (gangCheckpoints.get(gangRun) ?? checkpoint) !== checkpoint)
      violations.push(`${runDescription} resumes from another checkpoint than its gang`);
    gangCheckpoints.set(gangRun, checkpoint);
    if (usedAtWorker > options.findWorkerMillicores(event.worker))
      violations.push(
        `${runDescription} exceeds the capacity of ${event.worker}: ${usedAtWorker} millicores are used`,
      );
    const cancelledAtMs = options.cancelledAtMs.get(ref.job) ?? Number.POSITIVE_INFINITY;
    if (event.sentAtMs > cancelledAtMs + MAX_START_AFTER_CANCEL_MS)
      violations.push(
        `${runDescription} was sent at ${event.sentAtMs} ms, after the job was cancelled at ${cancelledAtMs} ms`,
      );
    if (
      event.atMs > cancelledAtMs + MAX_START_AFTER_CANCEL_MS &&
      !isStoppedInTime(options.history, event)
    )
      violations.push(
        `${runDescription} starts late after the job was cancelled and is not stopped`,
      );
    if (options.refusedJobs.has(ref.job))
      violations.push(`${runDescription} starts although its job was refused`);
    for (const dependency of step.after) {
      const dependencyStep = job.steps[dependency];
      for (let index = 0; index < (dependencyStep?.count ?? 0); index += 1) {
        if (!doneTasks.has(taskName.format({ ...ref, step: dependency, index })))
          violations.push(`${runDescription} starts before step ${dependency} is done`);
      }
    }
    runningStarts.set(event.task, [...earlierRuns, event]);
  }
  return [...new Set(violations)];
}

/** Returns whether the run that the event started ended at most `MAX_LATE_RUN_MS` later. */
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
