import { computeDemand } from '@acaciahoist/cell-planner/compute-demand';
import { countFittingTasks } from '@acaciahoist/cell-planner/count-fitting-tasks';
import { taskName } from '@acaciahoist/cell-state/task-name';
import type { DisruptionBudget } from './disruption-budget.js';
import { estimateRemainingMs } from './estimate-remaining-ms.js';
import { limits } from './limits.js';
import type { OwnerContext } from './owner-context.js';
import type { TrackedRun } from './tracked-run.js';
import type { WorkerSession } from './worker-session.js';

/**
 * Stops runs on draining workers, so that their tasks continue elsewhere. Long-running tasks move as soon as other
 * workers have room, within the disruption budget of their step; other tasks that can resume are stopped shortly
 * before the worker leaves.
 */
export class Evacuator {
  static create(context: OwnerContext, budget: DisruptionBudget): Evacuator {
    return new Evacuator(context, budget);
  }

  private constructor(
    private readonly context: OwnerContext,
    private readonly budget: DisruptionBudget,
  ) {}

  /** Sends the stops that are due. */
  evacuate(): void {
    const { clock, sessions, runs, state, sendStop } = this.context;
    const nowMs = clock.monotonicMs();
    for (const session of sessions.values()) {
      if (!session.entry.draining) continue;
      const isLeaving = nowMs >= session.leavesAtMs - limits.leaveMarginMs;
      for (const trackedRun of runs.listOn(session.id)) {
        const step = state.findStep(trackedRun.task);
        if (step === undefined) continue;
        if (step.longRunning) {
          if (this.mayMove(trackedRun, isLeaving)) sendStop(session, trackedRun);
          continue;
        }
        const endsAtMs = nowMs + estimateRemainingMs(trackedRun, nowMs);
        if (isLeaving && step.checkpointing && endsAtMs > session.leavesAtMs)
          sendStop(session, trackedRun);
      }
    }
  }

  private mayMove(trackedRun: TrackedRun, isLeaving: boolean): boolean {
    if (trackedRun.phase !== 'running' || !this.budget.mayStop(trackedRun)) return false;
    // Without room the task stays until its worker leaves; the stop then only shows its end at once.
    return isLeaving || trackedRun.stopSentAtMs > 0 || this.hasRoomElsewhere(trackedRun);
  }

  /** True when other workers have room for the task and for all tasks of its step that are away. */
  private hasRoomElsewhere(trackedRun: TrackedRun): boolean {
    const { state, sessions, runs } = this.context;
    const taskEntry = state.findTask(trackedRun.task);
    const ref = taskName.parse(trackedRun.task);
    const step = ref && taskEntry?.progress.job.steps[ref.step];
    if (taskEntry === undefined || ref === undefined || step === undefined) return false;
    const { service } = taskEntry.progress.job.queue;
    const stepKey = trackedRun.task.slice(0, trackedRun.task.lastIndexOf('.'));
    const demand = computeDemand(step);
    const tasksByWorker = new Map<string, number>();
    let needed = 1;
    for (const [index, task] of taskEntry.stepProgress.tasks.entries()) {
      if (index === ref.index) continue;
      const isStopped = (runs.get(taskName.format({ ...ref, index }))?.stopSentAtMs ?? 0) > 0;
      if (task.phase === 'waiting' || isStopped) needed += 1;
      else tasksByWorker.set(task.worker, (tasksByWorker.get(task.worker) ?? 0) + 1);
    }
    let room = 0;
    for (const session of sessions.values()) {
      const isSuitable =
        this.acceptsTasks(session, stepKey) &&
        session.entry.service === service &&
        (step.label === '' || session.entry.labels.includes(step.label));
      if (!isSuitable) continue;
      const fitting = countFittingTasks(this.computeFreeCapacity(session), demand, needed);
      const allowed =
        step.maxPerWorker === 0
          ? fitting
          : Math.min(fitting, step.maxPerWorker - (tasksByWorker.get(session.id) ?? 0));
      room += Math.max(0, allowed);
      if (room >= needed) return true;
    }
    return false;
  }

  private acceptsTasks(session: WorkerSession, stepKey: string): boolean {
    const { workerHealth, adviceCache } = this.context;
    return (
      session.isStartable() &&
      workerHealth.fitnessOf(session.id) === 'full' &&
      !adviceCache.get(stepKey).denied.has(session.id)
    );
  }

  private computeFreeCapacity(session: WorkerSession): Parameters<typeof countFittingTasks>[0] {
    const { millicores, memoryMib, accelerators } = session.entry;
    const free = { millicores, memoryMib, accelerators };
    this.context.runs.usedCapacity.subtractFrom(free, session.id);
    this.context.proposals.usedCapacity.subtractFrom(free, session.id);
    return free;
  }
}
