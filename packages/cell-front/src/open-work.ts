import type { Clock } from '@acaciahoist/clock';
import type { CellState } from '@acaciahoist/cell-state';
import { computeJobBytes } from '@acaciahoist/cell-state/compute-job-bytes';
import type { CellJob } from '@acaciahoist/cell-types';
import { cellLimits } from '@acaciahoist/cell-types/cell-limits';

interface Options {
  clock: Clock;
  /** The replica of this process; undefined while it holds none. */
  state: () => CellState | undefined;
  /** Memory in bytes of the open jobs as another process last reported it; undefined when none did. */
  reportedBytes: () => number | undefined;
}

/** Time in ms after which a job that was accepted here is part of what other processes report. */
const REPORT_DELAY_MS = 3_000;

/**
 * Memory of the jobs that have not ended. Load pattern: jobs of very many tasks. Every process with a replica keeps
 * all of them and loads them again after a restart, so that accepting more than fits would end all processes for
 * good.
 */
export class OpenWork {
  static create(options: Options): OpenWork {
    return new OpenWork(options);
  }

  /** Jobs submitted here that are not in the replica, or may not be in the reported figure. */
  private readonly submittedJobs = new Map<string, { bytes: number; atMs: number }>();

  private constructor(private readonly options: Options) {}

  /** Returns whether the cell has room for another job. */
  hasRoomFor(job: CellJob): boolean {
    return this.computeBytes() + computeJobBytes(job) <= cellLimits.openJobBytes;
  }

  /** Counts a job that is being appended. */
  add(job: CellJob): void {
    const atMs = this.options.clock.monotonicMs();
    this.submittedJobs.set(job.id, { bytes: computeJobBytes(job), atMs });
  }

  /** Removes a job that was refused, or that the replica has applied. */
  remove(id: string): void {
    this.submittedJobs.delete(id);
  }

  private computeBytes(): number {
    const { clock, state, reportedBytes } = this.options;
    const earliestMs = clock.monotonicMs() - REPORT_DELAY_MS;
    let bytes = state()?.openJobBytes ?? reportedBytes() ?? 0;
    for (const [id, submitted] of this.submittedJobs) {
      if (submitted.atMs < earliestMs) this.submittedJobs.delete(id);
      else bytes += submitted.bytes;
    }
    return bytes;
  }
}
