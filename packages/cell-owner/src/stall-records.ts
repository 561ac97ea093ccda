import { TaskKind } from '@acaciahoist/cell-planner/task-kind';
import { createRenewal } from './create-renewal.js';
import type { OwnerContext } from './owner-context.js';
import type { TrackedRun } from './tracked-run.js';

/** Share of the stall limit without progress from which a run is recorded. Runs that make progress stay below it. */
const FIRST_SHARE = 0.5;
/** A run is recorded again after this share of its stall limit, or after `MAX_STEP_MS` if that is shorter. */
const STEP_SHARE = 0.25;
const MAX_STEP_MS = 5_000;
/** Maximum number of records in a second, of some 60 bytes each: a store that fails may stall all runs of a cell. */
const MAX_RECORDS_PER_SECOND = 50;

interface Recorded {
  run: number;
  ageMs: number;
  /** Limit of the predecessor in ms; 0 for a run that this owner recorded first. */
  minLimitMs: number;
}

/**
 * Records the runs that make no progress for long, so that a successor continues to count. Load pattern: the owner
 * changes more often than the stall limit, which is minutes for a task of hours. Workers report whole percents that
 * never decrease: a run with the recorded percentage has made no progress since. The time between two owners does not
 * count, as the worker may have stood still with its network.
 */
export class StallRecords {
  /** `claimedAtMs` is the monotonic time at which this process applied its claim. */
  static create(context: OwnerContext, claimedAtMs: number): StallRecords {
    return new StallRecords(context, claimedAtMs);
  }

  /** What is recorded of the runs, by task. */
  private readonly recorded = new Map<string, Recorded>();
  /** Start of the current second of `MAX_RECORDS_PER_SECOND`, and the number of records in it. */
  private secondStartMs = Number.NEGATIVE_INFINITY;
  private countInSecond = 0;

  private constructor(
    private readonly context: OwnerContext,
    private readonly claimedAtMs: number,
  ) {}

  /** Continues to count from what a predecessor recorded, when the worker first lists the run to this owner. */
  restore(trackedRun: TrackedRun, nowMs: number): void {
    const { task, run, percent, kind } = trackedRun;
    const stall = this.context.state.stalls.find(task, run);
    if (stall === undefined) return;
    this.recorded.set(task, { run, ageMs: stall.ageMs, minLimitMs: stall.limitMs });
    // A best-effort run is paced anew by each owner.
    if (kind !== TaskKind.bestEffort && stall.percent === percent)
      trackedRun.lastProgressAtMs = nowMs - stall.ageMs;
    else this.clear(trackedRun);
  }

  /** Returns the stall limit in ms that a predecessor recorded for the run; 0 for none. */
  minLimitMs({ task, run }: TrackedRun): number {
    const recorded = this.recorded.get(task);
    return recorded?.run === run ? recorded.minLimitMs : 0;
  }

  /** Records the time without progress of a run when it has grown enough. */
  update(trackedRun: TrackedRun, limitMs: number, nowMs: number): void {
    const { task, run, percent, lastProgressAtMs } = trackedRun;
    const ageMs = Math.floor(nowMs - lastProgressAtMs);
    const former = this.recorded.get(task);
    const formerAgeMs = former?.run === run ? former.ageMs : 0;
    if (formerAgeMs > ageMs) {
      this.clear(trackedRun);
      return;
    }
    if (ageMs < FIRST_SHARE * limitMs) return;
    const stepMs = Math.min(STEP_SHARE * limitMs, MAX_STEP_MS);
    const reachesLimit = ageMs >= limitMs && formerAgeMs < limitMs;
    if (!reachesLimit && ageMs - formerAgeMs < stepMs) return;
    if (formerAgeMs >= limitMs || !this.takeTurn(nowMs)) return;
    this.recorded.set(task, { run, ageMs, minLimitMs: this.minLimitMs(trackedRun) });
    this.append([task, run, percent, ageMs, Math.ceil(limitMs)]);
  }

  /** Forgets a run that has ended. */
  forget({ task, run }: TrackedRun): void {
    if (this.recorded.get(task)?.run === run) this.recorded.delete(task);
  }

  /** Records that a run has made progress again. */
  private clear({ task, run, percent }: TrackedRun): void {
    this.recorded.delete(task);
    this.append([task, run, percent, 0, 0]);
  }

  private takeTurn(nowMs: number): boolean {
    if (nowMs - this.secondStartMs >= 1_000) {
      this.secondStartMs = nowMs;
      this.countInSecond = 0;
    }
    this.countInSecond += 1;
    return this.countInSecond <= MAX_RECORDS_PER_SECOND;
  }

  private append(
    stall: [task: string, run: number, percent: number, ageMs: number, limitMs: number],
  ): void {
    this.context.append([createRenewal(this.context, this.claimedAtMs, { stalls: [stall] })]);
  }
}
