import { taskName } from '@acaciahoist/cell-state/task-name';
import { limits } from './limits.js';
import type { OwnerContext } from './owner-context.js';
import type { TrackedRun } from './tracked-run.js';

/**
 * Decides which long-running tasks the owner may stop by its own choice: of a step with `maxUnavailable`, at most
 * that many tasks are away at a time because of such stops, and none is stopped while as many are away for any cause.
 */
export class DisruptionBudget {
  static create(context: OwnerContext): DisruptionBudget {
    return new DisruptionBudget(context);
  }

  /** Monotonic time at which this process became owner. */
  private readonly ownedSinceMs: number;

  private constructor(private readonly context: OwnerContext) {
    this.ownedSinceMs = context.clock.monotonicMs();
  }

  /** Returns whether the run may be stopped although its task could go on. */
  mayStop(trackedRun: TrackedRun): boolean {
    const { state, clock } = this.context;
    const taskEntry = state.findTask(trackedRun.task);
    const ref = taskName.parse(trackedRun.task);
    const step = ref && taskEntry?.progress.job.steps[ref.step];
    if (taskEntry === undefined || ref === undefined || step === undefined) return true;
    if (!step.longRunning || step.maxUnavailable === 0) return true;
    // The stop of one member ends the runs of all.
    if (step.gang) return step.maxUnavailable >= step.count;
    // A run that the former owner has stopped may still be listed as at work.
    if (clock.monotonicMs() - this.ownedSinceMs < limits.takeoverStopPauseMs) return false;
    let unavailable = 0;
    for (const index of taskEntry.stepProgress.tasks.keys())
      if (index !== ref.index && !this.isAtWork(taskName.format({ ...ref, index })))
        unavailable += 1;
    return unavailable < step.maxUnavailable;
  }

  /** True when a worker that answers lists a run of the task as at work, and the run is not to end. */
  private isAtWork(task: string): boolean {
    const { runs, sessions, proposals } = this.context;
    const trackedRun = runs.get(task);
    if (trackedRun?.phase !== 'running' || trackedRun.percent < 100) return false;
    if (trackedRun.stopSentAtMs > 0 || proposals.hasRunEnd(task, trackedRun.run)) return false;
    const session = sessions.get(trackedRun.worker);
    return (
      session !== undefined &&
      session.isReachable &&
      session.contactAgeMs() < session.maxContactAgeMs
    );
  }
}
