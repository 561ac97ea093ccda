import { Instant } from '@acaciahoist/clock/instant';
import { fits } from '@acaciahoist/cell-planner/fits';
import { taskName } from '@acaciahoist/cell-state/task-name';
import { computeFreeCapacity } from './compute-free-capacity.js';
import { estimateRemainingMs } from './estimate-remaining-ms.js';
import type { OwnerContext } from './owner-context.js';
import type { TrackedRun } from './tracked-run.js';
import type { WorkerSession } from './worker-session.js';

/** Multiple of its estimate for which a run must have lasted before it is copied: estimates are rough. */
const MIN_ELAPSED_FACTOR = 1.5;
/** Multiple of the estimate that a run must still need, so that its copy is expected to end first. */
const MIN_REMAINING_FACTOR = 1.25;
/** Maximum share of the runs that may be copies; one copy is always allowed. */
const MAX_COPY_SHARE = 0.05;

/**
 * Decides on second copies of slow tasks of `speculative` steps. A task gets at most one copy beside its current run,
 * on another worker, and only from capacity for which no task of the service waits.
 */
export class CopyPlanner {
  /** `hasWaiting` returns whether tasks of a service wait for capacity. */
  static create(context: OwnerContext, hasWaiting: (service: string) => boolean): CopyPlanner {
    return new CopyPlanner(context, hasWaiting);
  }

  private constructor(
    private readonly context: OwnerContext,
    private readonly hasWaiting: (service: string) => boolean,
  ) {}

  /** Appends the records of the copies to start. */
  plan(): void {
    const { clock, runs, proposals, startWindow } = this.context;
    const nowMs = clock.monotonicMs();
    const allRuns = runs.list();
    let allowed = Math.min(
      Math.max(1, Math.floor(allRuns.length * MAX_COPY_SHARE)) - runs.listCopies().length,
      startWindow.countAllowed(proposals.countStarts()),
    );
    const slowRuns = allRuns.filter((trackedRun) => this.isSlow(trackedRun, nowMs));
    const slowWorkers = new Set(slowRuns.map(({ worker }) => worker));
    for (const trackedRun of slowRuns) {
      if (allowed <= 0) return;
      if (this.mayHaveCopy(trackedRun) && this.copy(trackedRun, slowWorkers)) allowed -= 1;
    }
  }

  private isSlow(trackedRun: TrackedRun, nowMs: number): boolean {
    const { estimateMs, phase, isCopy, stopSentAtMs, trackedSinceMs } = trackedRun;
    if (isCopy || phase !== 'running' || stopSentAtMs > 0 || estimateMs === 0) return false;
    return (
      nowMs - trackedSinceMs >= MIN_ELAPSED_FACTOR * estimateMs &&
      estimateRemainingMs(trackedRun, nowMs) >= MIN_REMAINING_FACTOR * estimateMs
    );
  }

  /** True for the current run of a task that had no copy beside it and may run twice. */
  private mayHaveCopy({ task, run }: TrackedRun): boolean {
    const { state, proposals, runs } = this.context;
    const entry = state.findTask(task);
    const step = state.findStep(task);
    if (entry === undefined || step === undefined) return false;
    if (!step.speculative || step.gang || step.longRunning) return false;
    if (entry.task.phase !== 'placed' || entry.task.run !== run) return false;
    const isCopied = (entry.task.copyRun ?? 0) > run || runs.getCopy(task) !== undefined;
    if (isCopied || proposals.workerOf(task) !== undefined || proposals.hasRunEnd(task, run))
      return false;
    const { queue } = entry.progress.job;
    // The failure of a copy counts: it alone must not end the job.
    return entry.task.failures + 1 < queue.maxAttempts && !this.hasWaiting(queue.service);
  }

  /** Appends the record of a copy; returns false when no worker without slow runs can run it. */
  private copy(
    { task, run, demand, worker: currentWorker }: TrackedRun,
    slowWorkers: ReadonlySet<string>,
  ): boolean {
    const { clock, state, sessions, proposals, log, count, append } = this.context;
    const entry = state.findTask(task);
    if (entry === undefined) return false;
    let target: { id: string; freeMillicores: number } | undefined;
    for (const session of sessions.values()) {
      if (slowWorkers.has(session.id) || !this.canRunOn(task, session)) continue;
      const free = computeFreeCapacity(this.context, session);
      if (!fits(free, demand)) continue;
      if (target === undefined || free.millicores > target.freeMillicores)
        target = { id: session.id, freeMillicores: free.millicores };
    }
    if (target === undefined) return false;
    const copyRun = Math.max(run, entry.task.copyRun ?? 0) + 1;
    const decidedAt = Instant.create(clock);
    proposals.addStart(task, { worker: target.id, run: copyRun, demand, decidedAt });
    log('info', 'copy-decided', { task, run: copyRun, worker: target.id, slowOn: currentWorker });
    count('copies_total');
    append([{ kind: 'copy', task, run: copyRun, worker: target.id }]);
    return true;
  }

  /** True when the worker may run the task as far as its service, label, rack, tickets and limits are concerned. */
  private canRunOn(task: string, session: WorkerSession): boolean {
    const { state, workerHealth, adviceCache } = this.context;
    const entry = state.findTask(task);
    const step = state.findStep(task);
    const ref = taskName.parse(task);
    if (entry === undefined || step === undefined || ref === undefined) return false;
    const { queue } = entry.progress.job;
    if (!session.isStartable() || workerHealth.fitnessOf(session.id) !== 'full') return false;
    if (session.entry.service !== queue.service) return false;
    if (step.label !== '' && !session.entry.labels.includes(step.label)) return false;
    if (step.dataRack !== '' && session.entry.rack !== step.dataRack) return false;
    const stepKey = task.slice(0, task.lastIndexOf('.'));
    if (queue.advice !== undefined && adviceCache.findTicket(stepKey, session.id) === undefined)
      return false;
    return step.maxPerWorker === 0 || this.countTasksOn(stepKey, session) < step.maxPerWorker;
  }

  /** Counts the runs of a step on a worker, and the decided starts. */
  private countTasksOn(stepKey: string, session: WorkerSession): number {
    const { runs, state, proposals } = this.context;
    const isOfStep = (task: string): boolean => task.startsWith(`${stepKey}.`);
    let taskCount = 0;
    for (const { task } of runs.listOn(session.id)) if (isOfStep(task)) taskCount += 1;
    const ref = taskName.parse(`${stepKey}.0`);
    const steps = ref && state.jobs.get(ref.job)?.occurrences[ref.occurrence];
    for (const index of steps?.[ref?.step ?? 0]?.tasks.keys() ?? [])
      if (proposals.workerOf(`${stepKey}.${index}`) === session.id) taskCount += 1;
    return taskCount;
  }
}
