import type { JobRecord } from './job-record.js';
import type { QueueEntry } from './queue-entry.js';

/** Smallest number of removed entries at which the queue is compacted. */
const MIN_REMOVED_TO_COMPACT = 64;

/**
 * Jobs in order of submission. Removal only empties the entry of the job, so that a cancellation is
 * O(1); empty entries are skipped at the head and dropped when they are at least half of all.
 */
export class JobQueue {
  static create(): JobQueue {
    return new JobQueue([]);
  }

  private head = 0;
  private jobCount = 0;

  private constructor(private entries: QueueEntry[]) {}

  get size(): number {
    return this.jobCount;
  }

  /** Inserts the job by time of submission. No effect when it is already queued. */
  add(job: JobRecord): void {
    if (job.queueEntry !== null) return;
    const entry = { job, submittedAtMs: job.submittedAtMs };
    job.queueEntry = entry;
    this.jobCount += 1;
    const last = this.entries[this.entries.length - 1];
    if (last === undefined || last.submittedAtMs <= entry.submittedAtMs) {
      this.entries.push(entry);
      return;
    }
    this.entries.splice(this.findInsertPosition(entry.submittedAtMs), 0, entry);
  }

  remove(job: JobRecord): void {
    if (job.queueEntry === null) return;
    job.queueEntry.job = null;
    job.queueEntry = null;
    this.jobCount -= 1;
    const removed = this.entries.length - this.jobCount;
    if (removed >= MIN_REMOVED_TO_COMPACT && removed >= this.jobCount) this.compact();
  }

  /** Returns up to `limit` jobs, oldest first. */
  listOldest(limit: number): JobRecord[] {
    while (this.head < this.entries.length && this.entries[this.head]?.job === null) this.head += 1;
    const jobs: JobRecord[] = [];
    for (let i = this.head; i < this.entries.length && jobs.length < limit; i += 1) {
      const job = this.entries[i]?.job ?? null;
      if (job !== null) jobs.push(job);
    }
    return jobs;
  }

  /** Finds the position after all entries up to the time of submission by binary search. */
  private findInsertPosition(submittedAtMs: number): number {
    let low = this.head;
    let high = this.entries.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.entries[middle]?.submittedAtMs ?? 0) <= submittedAtMs) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  private compact(): void {
    this.entries = this.entries.filter((entry) => entry.job !== null);
    this.head = 0;
  }
}
