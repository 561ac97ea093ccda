import { JobQueue } from './job-queue.js';
import type { TaskRecord } from './task-record.js';

/** Quota, use and batch queue of one team. */
export class Team {
  static create(name: string, quotaPerMille: number): Team {
    return new Team(name, quotaPerMille);
  }

  readonly used: number[] = [];
  /** Dominant share of the cell, 0 to 1. */
  share = 0;
  readonly queue = JobQueue.create();
  /** Running batch tasks that may be checkpointed. */
  readonly preemptibleTasks: TaskRecord[] = [];
  /** Reservations of batch tasks. */
  reservationCount = 0;
  /** Release count of the cell at which nothing of the queue fitted. */
  blockedAtReleaseCount = -1;

  private constructor(
    readonly name: string,
    public quotaPerMille: number,
  ) {}

  /** Share in relation to the quota; above 1 the team borrows. */
  get ratio(): number {
    // Teams without a quota may use idle capacity, after all others.
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
