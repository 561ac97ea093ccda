import type { Clock } from '@acaciahoist/clock';
import { RunEnd } from '@acaciahoist/cell-types/run-end';

type Finish = (how: RunEnd) => void;

interface Gang {
  size: number;
  members: Map<string, Finish>;
  isWhole: boolean;
}

/** Time in ms that a member waits for the others. */
const ALONE_MS = 3_000;

/** Gangs across workers: members work from the moment when all are present, and end together. */
export class EmulatedGangs {
  static create(clock: Clock): EmulatedGangs {
    return new EmulatedGangs(clock);
  }

  private readonly gangs = new Map<string, Gang>();

  private constructor(private readonly clock: Clock) {}

  /** A member starts. `key` names the step and the run. */
  join(
    key: string,
    task: string,
    size: number,
    work: { ms: number; how: RunEnd },
    finish: Finish,
  ): void {
    const gang = this.gangs.get(key) ?? {
      size,
      members: new Map<string, Finish>(),
      isWhole: false,
    };
    this.gangs.set(key, gang);
    gang.members.set(task, finish);
    this.clock.after(ALONE_MS, () => {
      if (!gang.isWhole && gang.members.has(task)) finish(RunEnd.alone);
    });
    if (gang.members.size < size) return;
    gang.isWhole = true;
    this.clock.after(work.ms, () => {
      if (gang.members.size === size) this.endAll(gang, work.how);
    });
  }

  /** A member is gone; the others break. */
  leave(key: string, task: string): void {
    const gang = this.gangs.get(key);
    if (gang?.members.delete(task) !== true || !gang.isWhole) return;
    this.endAll(gang, RunEnd.broken);
  }

  private endAll(gang: Gang, how: RunEnd): void {
    const members = [...gang.members.values()];
    gang.members.clear();
    for (const finish of members) finish(how);
  }
}
