import type { Clock } from '@acaciahoist/clock';
import { RunEnd } from '@acaciahoist/cell-types/run-end';

type FinishRun = (how: RunEnd) => void;

interface Gang {
  size: number;
  members: Map<string, FinishRun>;
  isComplete: boolean;
}

/** Time in ms that a member waits for the other members to start. */
const JOIN_TIMEOUT_MS = 3_000;

/** Gangs whose members run on several workers: their work begins once all have started, and they end together. */
export class EmulatedGangs {
  static create(clock: Clock): EmulatedGangs {
    return new EmulatedGangs(clock);
  }

  private readonly gangs = new Map<string, Gang>();

  private constructor(private readonly clock: Clock) {}

  /** Adds a member that has started. `key` identifies the step and the run. */
  join(
    key: string,
    task: string,
    size: number,
    work: { ms: number; how: RunEnd },
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
    this.clock.after(work.ms, () => {
      if (gang.members.size === size) this.finishMembers(gang, work.how);
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
