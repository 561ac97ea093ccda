import { TaskKind } from '@acaciahoist/cell-planner/task-kind';
import type { DisruptionBudget } from './disruption-budget.js';
import type { OwnerContext } from './owner-context.js';
import type { RoomFinder } from './room-finder.js';
import type { TrackedRun } from './tracked-run.js';
import type { WorkerSession } from './worker-session.js';

/** A best-effort run that does little or no work because it is paced. */
interface HeldRun {
  run: number;
  /** Monotonic time at which its share became 0. */
  sinceMs: number;
}

/** Minimum time in ms at 0 percent after which a task is moved: two of the rises that bring others back to work. */
const MOVE_AFTER_MS = 3_000;
/** Replaces `MOVE_AFTER_MS` for a task that loses much work, because it has no checkpoint. */
const MOVE_WITH_LOSS_AFTER_MS = 8_000;
/** Completed share in percent from which the loss of the work counts. */
const MIN_LOSS_PERCENT = 20;
/** Highest share in percent at which a task still counts as held: one raise. */
const MAX_HELD_PERCENT = 20;
/** Minimum time in ms between two moves in the cell. */
const MOVE_INTERVAL_MS = 250;
/** Maximum number of tasks whose progress at their last move is kept; all are forgotten beyond it. */
const MAX_MOVED_TASKS = 10_000;

/**
 * Stops best-effort tasks that have been paced to 0 for some time while a worker that serves nothing has room, so
 * that they start there. A task that was moved makes progress before it is moved again.
 */
export class BestEffortMover {
  static create(
    context: OwnerContext,
    budget: DisruptionBudget,
    rooms: RoomFinder,
  ): BestEffortMover {
    return new BestEffortMover(context, budget, rooms);
  }

  private heldRuns = new Map<string, HeldRun>();
  /** Completed share in percent beyond which a moved task may be moved again, by task. */
  private readonly movedPercents = new Map<string, number>();
  private lastMoveAtMs = Number.NEGATIVE_INFINITY;

  private constructor(
    private readonly context: OwnerContext,
    private readonly budget: DisruptionBudget,
    private readonly rooms: RoomFinder,
  ) {}

  /** Sends the stop that is due, one at most. */
  move(): void {
    const { clock, runs, sessions } = this.context;
    const nowMs = clock.monotonicMs();
    this.heldRuns = this.listHeldRuns(nowMs);
    for (const [task, { sinceMs }] of this.heldRuns) {
      const trackedRun = runs.get(task);
      const session = trackedRun && sessions.get(trackedRun.worker);
      // The shares and loads of an unreachable worker are old.
      if (trackedRun === undefined || session?.isReachable !== true) continue;
      // The stop may be lost; `sendStop` limits how often it is repeated.
      if (trackedRun.stopSentAtMs > 0) this.context.sendStop(session, trackedRun);
      else if (
        nowMs - this.lastMoveAtMs >= MOVE_INTERVAL_MS &&
        this.isDue(trackedRun, nowMs - sinceMs)
      )
        this.stop(session, trackedRun, nowMs);
    }
  }

  /** Lists the runs at 0 percent beside serving tasks, and those of them that were raised once since. */
  private listHeldRuns(nowMs: number): Map<string, HeldRun> {
    const { runs, sessions } = this.context;
    const heldRuns = new Map<string, HeldRun>();
    for (const worker of sessions.keys()) {
      if (runs.taskCounts.count(worker, TaskKind.serving) === 0) continue;
      if (runs.taskCounts.count(worker, TaskKind.bestEffort) === 0) continue;
      for (const { task, run, kind, phase, pacedPercent } of runs.listOn(worker)) {
        if (kind !== TaskKind.bestEffort || phase !== 'running') continue;
        const former = this.heldRuns.get(task);
        const isKnown = former?.run === run;
        // An unknown share follows a pace call without reply.
        const isHeld = isKnown ? (pacedPercent ?? 0) <= MAX_HELD_PERCENT : pacedPercent === 0;
        if (isHeld) heldRuns.set(task, isKnown ? former : { run, sinceMs: nowMs });
      }
    }
    return heldRuns;
  }

  private isDue(trackedRun: TrackedRun, heldMs: number): boolean {
    const { state, runs, proposals } = this.context;
    const { task, run, percent, checkpoint } = trackedRun;
    const step = state.findStep(task);
    // The stop of one member ends the runs of a whole gang.
    if (step === undefined || step.gang || trackedRun.pacedPercent !== 0) return false;
    if (proposals.hasRunEnd(task, run)) return false;
    const losesWork = checkpoint === '' && !step.longRunning && percent >= MIN_LOSS_PERCENT;
    if (heldMs < (losesWork ? MOVE_WITH_LOSS_AFTER_MS : MOVE_AFTER_MS)) return false;
    const movedPercent = this.movedPercents.get(task);
    if (movedPercent !== undefined && percent <= movedPercent) return false;
    return (
      this.budget.mayStop(trackedRun) &&
      this.rooms.hasRoom(
        trackedRun,
        ({ id }) =>
          runs.taskCounts.count(id, TaskKind.serving) +
            proposals.taskCounts.count(id, TaskKind.serving) ===
          0,
      )
    );
  }

  private stop(session: WorkerSession, trackedRun: TrackedRun, nowMs: number): void {
    const { log, count, sendStop } = this.context;
    sendStop(session, trackedRun);
    // No stop is sent while the store does not answer.
    if (trackedRun.stopSentAtMs === 0) return;
    this.lastMoveAtMs = nowMs;
    if (this.movedPercents.size >= MAX_MOVED_TASKS) this.movedPercents.clear();
    const { task, run, percent, checkpoint } = trackedRun;
    this.movedPercents.set(task, checkpoint === '' ? 0 : percent);
    count('best_effort_moves_total');
    log('info', 'best-effort-task-moved', {
      task,
      run,
      worker: session.id,
      percent,
      hasCheckpoint: checkpoint !== '',
    });
  }
}
