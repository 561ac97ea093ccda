import type { Room } from '@acaciahoist/cell-planner/room';

/** A start that was decided and is on its way into the log. */
interface ProposedStart {
  worker: string;
  run: number;
  size: Room;
  decidedMs: number;
}

/** Decisions that are on their way into the log and have not come back from it. */
export class Proposals {
  static create(): Proposals {
    return new Proposals();
  }

  private readonly starts = new Map<string, ProposedStart>();
  private readonly ends = new Map<string, number>();

  addStart(task: string, start: ProposedStart): void {
    this.starts.set(task, start);
  }

  takeStart(task: string): ProposedStart | undefined {
    const start = this.starts.get(task);
    this.starts.delete(task);
    return start;
  }

  workerOf(task: string): string | undefined {
    return this.starts.get(task)?.worker;
  }

  allStarts(): IterableIterator<ProposedStart> {
    return this.starts.values();
  }

  /** Age in ms of the oldest start that has not come back. */
  oldestMs(nowMs: number): number {
    let oldest = nowMs;
    for (const start of this.starts.values()) oldest = Math.min(oldest, start.decidedMs);
    return nowMs - oldest;
  }

  /** False when the end of this run is on its way already. */
  addEnd(task: string, run: number): boolean {
    if ((this.ends.get(task) ?? 0) >= run) return false;
    this.ends.set(task, run);
    return true;
  }

  hasEnd(task: string, run: number): boolean {
    return (this.ends.get(task) ?? 0) >= run;
  }

  takeEnd(task: string): void {
    this.ends.delete(task);
  }
}
