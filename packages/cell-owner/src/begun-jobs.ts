import type { CellState } from '@acaciahoist/cell-state';
import type { JobProgress } from '@acaciahoist/cell-state/job-progress';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';

/**
 * Records which jobs have begun. A recorded start is a decision that may never be carried out, so a job
 * waits until a worker has confirmed a start of one of its tasks.
 */
export class BegunJobs {
  /** `onUnsent`: there are records to take, after there were none. */
  static create(state: CellState, onUnsent: () => void): BegunJobs {
    return new BegunJobs(state, onUnsent);
  }

  /** Jobs whose beginning is to be recorded, or is on its way into the log. */
  private readonly confirmed = new Set<string>();
  private unsent: CellRecord[] = [];

  private constructor(
    private readonly state: CellState,
    private readonly onUnsent: () => void,
  ) {}

  /** A worker has confirmed a start of the job, or listed a run of it. */
  confirm(job: string): void {
    const progress = this.state.jobs.get(job);
    if (progress === undefined || progress.begun || this.confirmed.has(job)) return;
    this.confirmed.add(job);
    this.unsent.push({ kind: 'begun', job });
    if (this.unsent.length === 1) this.onUnsent();
  }

  /** The beginning of the job, or its end, came back from the log. */
  forget(job: string): void {
    this.confirmed.delete(job);
  }

  /** Records that are not yet handed to the log. */
  take(): CellRecord[] {
    const records = this.unsent;
    this.unsent = [];
    return records;
  }

  /** Jobs by queue with a recorded start of which no worker has confirmed one. */
  countUnconfirmed(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const progress of this.state.jobs.values()) {
      if (progress.begun || !hasRecordedStart(progress)) continue;
      const queue = progress.job.queue.name;
      counts.set(queue, (counts.get(queue) ?? 0) + 1);
    }
    return counts;
  }
}

function hasRecordedStart(progress: JobProgress): boolean {
  return progress.occurrences.some((steps) =>
    steps.some((step) => step.tasks.some((task) => task.run > 0)),
  );
}
