import type { AccountRow } from './account-row.js';
import type { ArmedOpening } from './armed-opening.js';
import type { ClosedPeriod } from './closed-period.js';
import type { DelegatedJobKey } from './delegated-job-key.js';
import type { JournalJob } from './journal-job.js';
import type { JournalKey } from './journal-key.js';

/** State of a partition. One mutable structure; only the package `journal` changes it. */
export interface JournalState {
  jobs: Map<string, JournalJob>;
  /** Job of each task that is kept. */
  taskJobs: Map<string, string>;
  /** Job of each idempotency key of a job. */
  jobKeys: Map<string, string>;
  /** Job keys that another partition took over, in order of time. */
  delegatedJobKeys: Map<string, DelegatedJobKey>;
  keys: Map<string, JournalKey>;
  /** Armed tasks by task id. */
  armed: Map<string, ArmedOpening>;
  /** Rows of each open period, by user, team and outcome. */
  openPeriods: Map<string, Map<string, AccountRow>>;
  /** The latest period that an entry belonged to; corrections of closed periods are counted here. */
  openPeriod: string;
  closedPeriods: ClosedPeriod[];
  /** Last applied request count by process incarnation, in order of time. */
  counted: Map<string, { sequence: number; atMs: number }>;
  /** Number of the next job of the partition. */
  nextJobNumber: number;
  /** Ended jobs without and with a key, and keys with an outcome, in order of their end. */
  endedJobs: Set<string>;
  endedKeyedJobs: Set<string>;
  doneKeys: Set<string>;
  /** Keys whose reply body is kept, in order of their end, and the sum of these bodies. */
  keysWithBody: Set<string>;
  bodyBytes: number;
  /** Entries without effect: repeated, or about an unknown job, task or key. */
  ignoredEntries: number;
}
