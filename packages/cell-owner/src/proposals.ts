import type { Instant } from '@acaciahoist/clock/instant';
import type { Room } from '@acaciahoist/cell-planner/room';
import { UsedRoom } from './used-room.js';

/** A start that was decided and is on its way into the log. */
interface ProposedStart {
  worker: string;
  run: number;
  size: Room;
  /** Time since the decision. */
  decided: Instant;
}

/** Decisions that are on their way into the log and have not come back from it. */
export class Proposals {
  static create(): Proposals {
    return new Proposals();
  }

  private readonly starts = new Map<string, ProposedStart>();
  private readonly ends = new Map<string, number>();
  /** Room that the decided starts take. */
  readonly used = UsedRoom.create();

  addStart(task: string, start: ProposedStart): void {
    this.takeStart(task);
    this.starts.set(task, start);
    this.used.add(start.worker, start.size);
  }

  takeStart(task: string): ProposedStart | undefined {
    const start = this.starts.get(task);
    if (start === undefined) return undefined;
    this.starts.delete(task);
    this.used.remove(start.worker, start.size);
    return start;
  }

  countStarts(): number {
    return this.starts.size;
  }

  workerOf(task: string): string | undefined {
    return this.starts.get(task)?.worker;
  }

  /** Age in ms of the oldest start that has not come back. */
  oldestMs(): number {
    // Insertion order is the order of decisions.
    const oldest = this.starts.values().next().value;
    return oldest?.decided.ageMs() ?? 0;
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
