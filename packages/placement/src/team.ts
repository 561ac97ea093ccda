import { JobQueue } from './job-queue.js';
import type { TaskRecord } from './task-record.js';

/** Quota, used capacity and batch queue of one team. */
export class Team {
  static create(name: string, quotaPerMille: number): Team {
    return new Team(name, quotaPerMille);
  }

  readonly used: number[] = [];
  /** Dominant share: largest used part of the total of any resource, 0 to 1. */
  share = 0;
  readonly queue = JobQueue.create();
  /** Batch tasks at workers that may be checkpointed for other work, mostly in order of start. */
  readonly preemptibleTasks: TaskRecord[] = [];
  /** Number of reservations for batch tasks. */
  reservationCount = 0;
  /** `releaseCount` when last no job of the queue fitted, else -1; they are tried again once the count differs. */
  blockedAtReleaseCount = -1;

  private constructor(
    readonly name: string,
    public quotaPerMille: number,
  ) {}

  /** Share in relation to the quota; above 1 the team uses capacity beyond its quota. */
  get shareToQuotaRatio(): number {
    // The minimum quota of 0.1 per mille lets teams without one use idle capacity after all others.
    return this.share / (Math.max(0.1, this.quotaPerMille) / 1000);
  }

  addPreemptible(task: TaskRecord): void {
    if (task.preemptiblePosition >= 0) return;
    task.preemptiblePosition = this.preemptibleTasks.length;
    this.preemptibleTasks.push(task);
  }

  removePreemptible(task: TaskRecord): void {
    const position = task.preemptiblePosition;
    if (position < 0) return;
    task.preemptiblePosition = -1;
    const last = this.preemptibleTasks.pop();
    if (last === undefined || last === task) return;
    this.preemptibleTasks[position] = last;
    last.preemptiblePosition = position;
  }
}
