import type { JobSpec } from '@acaciahoist/types/job-spec';
import type { JobState } from '@acaciahoist/types/job-state';
import type { Outcome } from '@acaciahoist/types/outcome';
import type { TaskOutcome } from '@acaciahoist/types/task-outcome';
import type { JournalTask } from './journal-task.js';

/** State of one job in the journal. Times are wall-clock ms unless stated otherwise. */
export interface JournalJob {
  jobId: string;
  spec: JobSpec;
  state: JobState;
  outcome: Outcome | null;
  reason: string;
  acceptedAtMs: number;
  /** Start of the first task. */
  startedAtMs: number | null;
  endedAtMs: number | null;
  /**
   * Time of the partition at the end of the job. Absent before, and for an end from a snapshot of an earlier
   * version, where it counts as 0.
   */
  keptSinceMs?: number;
  /** Time of the cancel request. */
  cancelAtMs: number | null;
  /** Tasks by id, in order of assignment. Only the last of the ended tasks are kept. */
  tasks: Map<string, JournalTask>;
  /** Ids of the ended tasks that are kept, in order of their end. */
  endedTasks: Set<string>;
  /**
   * For each group of the spec, the number of ended tasks by outcome, including those no longer
   * kept.
   */
  ended: Record<TaskOutcome, number>[];
  /** Number of running tasks. */
  running: number;
  /** Resource use of the ended tasks. 64-bit, as the total of a cell in a month exceeds 2^53. */
  millicoreMs: bigint;
  mibMs: bigint;
}
