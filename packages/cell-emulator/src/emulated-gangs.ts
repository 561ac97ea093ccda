import type { Clock } from '@acaciahoist/clock';
import { RunEnd } from '@acaciahoist/cell-types/run-end';

/** Ends the run of one member. */
type FinishRun = (how: RunEnd) => void;

interface Gang {
  size: number;
  /** Members that have started and not ended, by task. */
  members: Map<string, FinishRun>;
  /** True once all members have started. */
  isComplete: boolean;
}

/** Time in ms that a member waits for the other members to start. */
const JOIN_TIMEOUT_MS = 3_000;

/**
 * Gangs whose members run on several workers: their work begins once all members have started, and they
 * end together.
 */
export class EmulatedGangs {
  static create(clock: Clock): EmulatedGangs {
    return new EmulatedGangs(clock);
  }

  private readonly gangs = new Map<string, Gang>();

  private constructor(private readonly clock: Clock) {}

  /**
   * Adds a member that has started. `key` identifies the step and the run. The member ends as `alone` if the
   * gang is not complete in time.
   */
  join(
    key: string,
    task: string,
    size: number,
    runPlan: { durationMs: number; how: RunEnd },
    finish: FinishRun,
  ): void {
    const gang = this.gangs.get(key) ?? {
      size,
      members: new Map<string, FinishRun>(),
      isComplete: false,
    };
    this.gangs.set(key, gang);
    gang.members.set(task, finish);
    this.clock.after(JOIN_TIMEOUT_MS, () => {
      if (!gang.isComplete && gang.members.has(task)) finish(RunEnd.alone);
    });
    if (gang.members.size < size) return;
    gang.isComplete = true;
    this.clock.after(runPlan.durationMs, () => {
      if (gang.members.size === size) this.finishMembers(gang, runPlan.how);
    });
  }

  /** Removes a member; the other members of a complete gang end as broken. */
  leave(key: string, task: string): void {
    const gang = this.gangs.get(key);
    if (gang?.members.delete(task) !== true || !gang.isComplete) return;
    this.finishMembers(gang, RunEnd.broken);
  }

  private finishMembers(gang: Gang, how: RunEnd): void {
    const members = [...gang.members.values()];
    gang.members.clear();
    for (const finish of members) finish(how);
  }
}
