import type { Instant } from '@acaciahoist/clock/instant';
import type { Capacity } from '@acaciahoist/cell-planner/capacity';
import { TeamUsage } from './team-usage.js';
import type { TaskKind } from '@acaciahoist/cell-planner/task-kind';
import { TaskCounts } from './task-counts.js';
import { UsedCapacity } from './used-capacity.js';

/** A start that was decided and whose record has not yet been applied. */
interface ProposedStart {
  worker: string;
  run: number;
  demand: Capacity;
  /** Team to which the start is charged; undefined for none. */
  team: string | undefined;
  /** What the start counts against the quota of its team. */
  charge: Capacity;
  kind: TaskKind;
  image: string;
  /** Time of the decision. */
  decidedAt: Instant;
}

/** Decisions that are being appended to the log and whose records have not yet been applied. */
export class Proposals {
  static create(): Proposals {
    return new Proposals();
  }

  private readonly starts = new Map<string, ProposedStart>();
  /** Runs whose end is being appended, as `task/run`. */
  private readonly endingRuns = new Set<string>();
  /** Capacity that the decided starts will use. */
  readonly usedCapacity = UsedCapacity.create();
  /** What the decided starts count against the quotas of their teams. */
  readonly teamUsage = TeamUsage.create();
  readonly taskCounts = TaskCounts.create();

  addStart(task: string, start: ProposedStart): void {
    this.takeStart(task);
    this.starts.set(task, start);
    this.usedCapacity.add(start.worker, start.demand);
    this.teamUsage.add(start.team, start.charge);
    this.taskCounts.add(start.worker, start.kind);
  }

  /** Returns and removes the decided start of a task. */
  takeStart(task: string): ProposedStart | undefined {
    const start = this.starts.get(task);
    if (start === undefined) return undefined;
    this.starts.delete(task);
    this.usedCapacity.remove(start.worker, start.demand);
    this.teamUsage.remove(start.team, start.charge);
    this.taskCounts.remove(start.worker, start.kind);
    return start;
  }

  listStarts(): IterableIterator<{ worker: string; image: string }> {
    return this.starts.values();
  }

  countStarts(): number {
    return this.starts.size;
  }

  workerOf(task: string): string | undefined {
    return this.starts.get(task)?.worker;
  }

  /** Returns the age in ms of the oldest decided start; 0 when there is none. */
  oldestStartAgeMs(): number {
    // The insertion order of the map is the order of the decisions.
    const oldest = this.starts.values().next().value;
    return oldest?.decidedAt.ageMs() ?? 0;
  }

  /** Adds the end of a run; returns false when it is already being appended. */
  addRunEnd(task: string, run: number): boolean {
    if (this.hasRunEnd(task, run)) return false;
    this.endingRuns.add(`${task}/${run}`);
    return true;
  }

  hasRunEnd(task: string, run: number): boolean {
    return this.endingRuns.has(`${task}/${run}`);
  }

  /** Removes the end of a run, after its record was applied. */
  removeRunEnd(task: string, run: number): void {
    this.endingRuns.delete(`${task}/${run}`);
  }
}
