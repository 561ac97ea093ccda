import { computeDemand } from '@acaciahoist/cell-planner/compute-demand';
import { countFittingTasks } from '@acaciahoist/cell-planner/count-fitting-tasks';
import { taskName } from '@acaciahoist/cell-state/task-name';
import type { OwnerContext } from './owner-context.js';
import type { TrackedRun } from './tracked-run.js';
import type { WorkerSession } from './worker-session.js';

/** Finds out whether other workers have room for a task that is to be moved. */
export class RoomFinder {
  static create(context: OwnerContext): RoomFinder {
    return new RoomFinder(context);
  }

  private constructor(private readonly context: OwnerContext) {}

  /**
   * True when workers for which `isSuitable` holds have room for the task and for all tasks of its step that are
   * away.
   */
  hasRoom(
    trackedRun: TrackedRun,
    isSuitable: (session: WorkerSession) => boolean = () => true,
  ): boolean {
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
      const canTake =
        this.acceptsTasks(session, stepKey) &&
        session.entry.service === service &&
        (step.label === '' || session.entry.labels.includes(step.label)) &&
        isSuitable(session);
      if (!canTake) continue;
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
