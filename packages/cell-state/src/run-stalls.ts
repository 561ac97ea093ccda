import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import type { RecordedStall } from './recorded-stall.js';
import { taskName } from './task-name.js';

/** Maximum number of runs that are kept, the newest ones. */
const MAX_RUNS = 4_096;

/** Runs that have made no progress for some time, by task, so that a successor does not count it from 0. */
export class RunStalls {
  static create(): RunStalls {
    return new RunStalls();
  }

  private readonly byTask = new Map<string, RecordedStall>();

  find(task: string, run: number): RecordedStall | undefined {
    const stall = this.byTask.get(task);
    return stall?.run === run ? stall : undefined;
  }

  list(): [string, RecordedStall][] {
    return [...this.byTask];
  }

  set(task: string, stall: RecordedStall): void {
    // Inserted again, so that the map begins with the run that was recorded longest ago.
    this.byTask.delete(task);
    this.byTask.set(task, stall);
    for (const oldest of this.byTask.keys()) {
      if (this.byTask.size <= MAX_RUNS) break;
      this.byTask.delete(oldest);
    }
  }

  /** Applies a renewal of the claim in force. */
  applyRenewal({ stalls }: Extract<CellRecord, { kind: 'renew' }>): void {
    for (const [task, run, percent, ageMs, limitMs] of stalls ?? [])
      if (ageMs === 0) this.byTask.delete(task);
      else this.set(task, { run, percent, ageMs, limitMs });
  }

  /** Forgets the runs of a task, one of which has ended or started. */
  forget(task: string): void {
    this.byTask.delete(task);
  }

  /** Forgets the runs of a job that has ended. */
  forgetJob(job: string): void {
    for (const task of this.byTask.keys())
      if (taskName.jobOf(task) === job) this.byTask.delete(task);
  }
}
