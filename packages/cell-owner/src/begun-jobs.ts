import type { CellState } from '@acaciahoist/cell-state';
import type { JobProgress } from '@acaciahoist/cell-state/job-progress';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';

/**
 * Creates the `begun` records of jobs. A recorded start is a decision that may never be executed, so a job
 * counts as pending until a worker has confirmed a start of one of its tasks.
 */
export class BegunJobs {
  /** `onRecordsWaiting` is called when there are records to take and there were none before. */
  static create(state: CellState, onRecordsWaiting: () => void): BegunJobs {
    return new BegunJobs(state, onRecordsWaiting);
  }

  /** Jobs that have begun and whose record is not yet applied. */
  private readonly confirmedJobs = new Set<string>();
  private waitingRecords: CellRecord[] = [];

  private constructor(
    private readonly state: CellState,
    private readonly onRecordsWaiting: () => void,
  ) {}

  /** Records that a worker has confirmed a start of the job or listed one of its runs. */
  confirmStart(job: string): void {
    const progress = this.state.jobs.get(job);
    if (progress === undefined || progress.begun || this.confirmedJobs.has(job)) return;
    this.confirmedJobs.add(job);
    this.waitingRecords.push({ kind: 'begun', job });
    if (this.waitingRecords.length === 1) this.onRecordsWaiting();
  }

  /** Removes a job after its `begun` record was applied, or after it has ended. */
  forget(job: string): void {
    this.confirmedJobs.delete(job);
  }

  /** Returns and removes the records that are to be appended to the log. */
  takeRecords(): CellRecord[] {
    const records = this.waitingRecords;
    this.waitingRecords = [];
    return records;
  }

  /** Counts, by queue, the jobs with recorded starts none of which a worker has confirmed. */
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
