import type { AccountRow } from './account-row.js';
import type { ArmedTask } from './armed-task.js';
import type { ClosedPeriod } from './closed-period.js';
import type { DelegatedJobKey } from './delegated-job-key.js';
import type { JournalJob } from './journal-job.js';
import type { JournalKey } from './journal-key.js';

/** State of a partition. It is changed in place, and only by the package `journal`. */
export interface JournalState {
  jobs: Map<string, JournalJob>;
  /** Job id by task id, for the tasks that are kept. */
  taskJobs: Map<string, string>;
  /** Job id by the idempotency key of the job. */
  jobKeys: Map<string, string>;
  /** Idempotency keys of jobs that are delegated to another partition, in order of time. */
  delegatedJobKeys: Map<string, DelegatedJobKey>;
  /** Idempotency keys of requests. */
  keys: Map<string, JournalKey>;
  /** Armed tasks by task id. */
  armed: Map<string, ArmedTask>;
  /** Rows by open period, and in it by user, team and outcome. */
  openPeriods: Map<string, Map<string, AccountRow>>;
  /** The latest period of any entry. Entries of a closed period are counted here. */
  openPeriod: string;
  closedPeriods: ClosedPeriod[];
  /**
   * Sequence number and times of the last applied request count by process incarnation, in order of
   * time.
   */
  counted: Map<string, { sequence: number; atMs: number; keptSinceMs?: number }>;
  /**
   * Time of the partition: the sum of the times that its owners have counted in their terms. It never
   * advances faster than true time, whatever the wall clocks show. The time for which items are kept
   * counts in it, from the `keptSinceMs` of the item.
   */
  elapsedMs: number;
  /** Time of the partition at the last valid claim. */
  termStartMs: number;
  /** Number of the next job of the partition. */
  nextJobNumber: number;
  /** Ended jobs without an idempotency key, in order of their end. */
  endedJobs: Set<string>;
  /** Ended jobs with an idempotency key, in order of their end. */
  endedKeyedJobs: Set<string>;
  /** Keys with an outcome, in order of the outcomes. */
  doneKeys: Set<string>;
  /** Keys whose reply body is kept, in order of the outcomes. */
  keysWithBody: Set<string>;
  /** Sum of the kept reply bodies. */
  bodyBytes: number;
  /**
   * Number of entries without effect, for example repeated or about an unknown job, task or key.
   */
  ignoredEntries: number;
}
