import { BestEffortMover } from './best-effort-mover.js';
import type { DisruptionBudget } from './disruption-budget.js';
import { estimateRemainingMs } from './estimate-remaining-ms.js';
import { limits } from './limits.js';
import type { OwnerContext } from './owner-context.js';
import { RoomFinder } from './room-finder.js';
import type { TrackedRun } from './tracked-run.js';

/**
 * Stops runs on draining workers, so that their tasks continue elsewhere. Long-running tasks move as soon as other
 * workers have room, within the disruption budget of their step; other tasks that can resume are stopped shortly
 * before the worker leaves. Best-effort tasks that are held at 0 beside serving tasks are moved as well.
 */
export class Evacuator {
  static create(context: OwnerContext, budget: DisruptionBudget): Evacuator {
    return new Evacuator(context, budget);
  }

  private readonly rooms: RoomFinder;
  private readonly bestEffortMover: BestEffortMover;

  private constructor(
    private readonly context: OwnerContext,
    private readonly budget: DisruptionBudget,
  ) {
    this.rooms = RoomFinder.create(context);
    this.bestEffortMover = BestEffortMover.create(context, budget, this.rooms);
  }

  /** Sends the stops that are due. */
  evacuate(): void {
    const { clock, sessions, runs, state, workerHealth, sendStop } = this.context;
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
        const speed = workerHealth.speeds.speedOf(session.id, session.entry.born);
        const endsAtMs = nowMs + estimateRemainingMs(trackedRun, nowMs, speed);
        if (isLeaving && step.checkpointing && endsAtMs > session.leavesAtMs)
          sendStop(session, trackedRun);
      }
    }
    this.bestEffortMover.move();
  }

  private mayMove(trackedRun: TrackedRun, isLeaving: boolean): boolean {
    if (trackedRun.phase !== 'running' || !this.budget.mayStop(trackedRun)) return false;
    // Without room the task stays until its worker leaves; the stop then only shows its end at once.
    return isLeaving || trackedRun.stopSentAtMs > 0 || this.rooms.hasRoom(trackedRun);
  }
}
