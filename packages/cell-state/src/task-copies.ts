import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import { taskName } from './task-name.js';
import type { FailedCopy } from './failed-copy.js';
import type { LeftoverRun } from './leftover-run.js';

/**
 * Time of the cell in ms after a claim that ends the knowledge of copies within which no copy starts: all leases
 * that were granted before the claim have expired by then, (6,000 + 8,000) / 0.98 + 300 ms, rounded up.
 */
const MIN_TIME_AFTER_CLEARING_MS = 15_000;

/** Second runs of speculative tasks. A task has one at most. */
export class TaskCopies {
  static create(): TaskCopies {
    return new TaskCopies();
  }

  /**
   * Second runs that have not ended, by task: the copy of a task beside its current run, or the current run after
   * its copy was done. They stay here when the job ends.
   */
  readonly running = new Map<string, LeftoverRun>();
  /**
   * Copies that have failed while the first run continued, by task. The failure is counted by a `start` and an `end`
   * record once the first run has ended without success: processes of earlier versions count it by the same records.
   */
  readonly failed = new Map<string, FailedCopy>();
  /** False when copies may be missing, for example after the snapshot of an earlier version. */
  isComplete = true;
  /** Time of the cell in ms from which copies may start. */
  allowedFromMs = 0;

  /**
   * Applies a claim that takes effect. An owner that does not know the copies stops them as runs that are not
   * recorded, so that all replicas forget them.
   */
  applyClaim({ knowsCopies }: Extract<CellRecord, { kind: 'claim' }>, cellTimeMs: number): void {
    if (knowsCopies === true) return;
    this.running.clear();
    this.failed.clear();
    this.isComplete = true;
    this.allowedFromMs = cellTimeMs + MIN_TIME_AFTER_CLEARING_MS;
  }

  /** Forgets the failed copies of a job that has ended. */
  forgetFailedOf(job: string): void {
    for (const task of this.failed.keys())
      if (taskName.jobOf(task) === job) this.failed.delete(task);
  }
}
