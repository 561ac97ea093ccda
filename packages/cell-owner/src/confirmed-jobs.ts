import type { CellState } from '@acaciahoist/cell-state';
import type { JobProgress } from '@acaciahoist/cell-state/job-progress';

/** Jobs of which a worker has confirmed a start, as far as this owner knows. */
export class ConfirmedJobs {
  static create(): ConfirmedJobs {
    return new ConfirmedJobs();
  }

  private readonly ids = new Set<string>();

  /** A worker has confirmed a start of the job, or listed a run or an end of it. */
  confirm(job: string): void {
    this.ids.add(job);
  }

  forget(job: string): void {
    this.ids.delete(job);
  }

  /** Jobs by queue that the state shows as begun although no worker has confirmed a start. */
  countUnconfirmed(state: CellState): Map<string, number> {
    const counts = new Map<string, number>();
    for (const [id, progress] of state.jobs) {
      if (!progress.begun || this.ids.has(id) || hasEnds(progress)) continue;
      const queue = progress.job.queue.name;
      counts.set(queue, (counts.get(queue) ?? 0) + 1);
    }
    return counts;
  }
}

/** True when the log has an end that a worker reported. */
function hasEnds(progress: JobProgress): boolean {
  return progress.occurrences.some((steps) =>
    steps.some((step) => step.done > 0 || step.gangFailures > 0),
  );
}
