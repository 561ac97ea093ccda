import { adjustCapacity } from './adjust-capacity.js';
import type { Capacity } from './capacity.js';
import { computeCharge } from './compute-charge.js';
import { countFittingTasks } from './count-fitting-tasks.js';
import type { PlannedTeam } from './planned-team.js';
import type { ReadyStep } from './ready-step.js';

/**
 * From this waiting time in ms on, a step that its quota holds back keeps what becomes free of the quota from later
 * steps of its team. Otherwise a gang would wait as long as smaller work of its team arrives.
 */
const HOLD_AFTER_MS = 1_000;
/** A step keeps the quota for this time in ms, and lets others use it for the same time, because runs may last long. */
const HOLD_MS = 10_000;

/** What a team may still start in a round, and for how much more it may request advice. */
interface TeamRoom {
  /** What the team may start once all but its long-running tasks have ended. */
  eventual: Capacity;
  /** Whether a step keeps the quota from later ones that are not prompt. */
  isKept: boolean;
  forStarts: Capacity;
  forAdvice: Capacity;
}

/**
 * What each team may still start in one planning round. A team without a quota, a step without a team and a team
 * that the configuration does not name have no limit.
 */
export class TeamQuotas {
  /** Creates the quotas of the teams; undefined while no configuration is known, when no step of a team starts. */
  static create(teams: readonly PlannedTeam[] | undefined): TeamQuotas {
    return new TeamQuotas(teams);
  }

  private readonly rooms = new Map<string, TeamRoom>();
  /** Number of tasks that were subtracted from what may be advised, by step. */
  private readonly advisedTasks = new Map<string, number>();

  private constructor(private readonly teams: readonly PlannedTeam[] | undefined) {
    for (const { name, quota, used, lasting } of teams ?? []) {
      if (quota.millicores === 0 && quota.memoryMib === 0 && quota.accelerators === 0) continue;
      const room = computeRoom(quota, used);
      const eventual = computeRoom(quota, lasting);
      this.rooms.set(name, { forStarts: room, forAdvice: { ...room }, eventual, isKept: false });
    }
  }

  /** Counts the waiting tasks of the step that its team may start now: all or none of a gang. */
  countStartable(step: ReadyStep): number {
    if (this.teams === undefined && step.team !== undefined) return 0;
    const room = this.findRoom(step);
    return room?.isKept === true && step.queue.priority > 0 ? 0 : countTasks(step, room?.forStarts);
  }

  /**
   * Returns whether a step that its quota holds back may keep the quota from later steps: it waits for long, and the
   * quota suffices once other runs have ended.
   */
  mayKeep(step: ReadyStep, nowMs: number): boolean {
    const heldMs = nowMs - step.dueMs - HOLD_AFTER_MS;
    if (heldMs < 0 || Math.floor(heldMs / HOLD_MS) % 2 === 1) return false;
    return countTasks(step, this.findRoom(step)?.eventual) > 0;
  }

  /** Keeps what is left of the quota from later steps of the team that are not prompt. */
  keep(step: ReadyStep): void {
    const room = this.findRoom(step);
    if (room !== undefined) room.isKept = true;
  }

  /** Counts the waiting tasks for which a new advice request is useful: all or none of a gang. */
  countAdvisable(step: ReadyStep): number {
    return countTasks(step, this.findRoom(step)?.forAdvice);
  }

  /** Subtracts starts of the step from what its team may start. */
  subtractStarts(step: ReadyStep, tasks: number): void {
    const room = this.findRoom(step);
    if (room === undefined) return;
    adjustCapacity(room.forStarts, computeCharge(step.step), -tasks);
    this.subtractForAdvice(step, room, tasks);
  }

  /**
   * Subtracts a step that waits for advice or requests it. Otherwise all waiting steps of a team would request advice
   * for the room of one of them.
   */
  subtractAdvised(step: ReadyStep): void {
    const room = this.findRoom(step);
    if (room !== undefined) this.subtractForAdvice(step, room, countTasks(step, room.forAdvice));
  }

  /** Subtracts tasks of the step from what its team may request advice for; each task only once. */
  private subtractForAdvice(step: ReadyStep, room: TeamRoom, tasks: number): void {
    const subtracted = this.advisedTasks.get(step.key) ?? 0;
    if (tasks <= subtracted) return;
    adjustCapacity(room.forAdvice, computeCharge(step.step), subtracted - tasks);
    this.advisedTasks.set(step.key, tasks);
  }

  private findRoom(step: ReadyStep): TeamRoom | undefined {
    return step.team === undefined ? undefined : this.rooms.get(step.team);
  }
}

function computeRoom(quota: Capacity, used: Capacity): Capacity {
  return {
    millicores: subtract(quota.millicores, used.millicores),
    memoryMib: subtract(quota.memoryMib, used.memoryMib),
    accelerators: subtract(quota.accelerators, used.accelerators),
  };
}

function subtract(limit: number, used: number): number {
  return limit === 0 ? Number.POSITIVE_INFINITY : limit - used;
}

function countTasks({ step, waitingTasks }: ReadyStep, room: Capacity | undefined): number {
  if (room === undefined) return waitingTasks.length;
  if (isExceeded(room)) return 0;
  // The fields of a step are its charge; a copy of them for each step of each round would cost time.
  const count = countFittingTasks(room, step, waitingTasks.length);
  return step.gang && count < waitingTasks.length ? 0 : count;
}

/**
 * Returns whether the team is above its quota in any resource, as after the quota has shrunk. Then it starts nothing,
 * not even tasks that demand none of this resource.
 */
function isExceeded({ millicores, memoryMib, accelerators }: Capacity): boolean {
  return millicores < 0 || memoryMib < 0 || accelerators < 0;
}
