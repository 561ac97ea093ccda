import type { TaskState } from '@acaciahoist/lifecycles/task-state';
import type { JobRecord } from './job-record.js';
import type { Reservation } from './reservation.js';
import type { WorkerRecord } from './worker-record.js';

/** One task of a job. Ids of later attempts differ, because workers refuse an id that they know. */
export interface TaskRecord {
  job: JobRecord;
  group: number;
  index: number;
  /** Starts so far; part of the task id. */
  runNumber: number;
  /** Id of the latest attempt, empty before the first. */
  id: string;
  state: TaskState;
  worker: WorkerRecord | null;
  /** Declared need. */
  demand: number[];
  /** What admission counts: the greatest of declared, learned upward and observed. */
  allocation: number[];
  observedUsage: number[] | null;
  startedAtMs: number;
  /** True when the worker reported that the attempt runs. */
  isStartConfirmed: boolean;
  /** Earliest time of the next start after a failure, ms. */
  notBeforeMs: number;
  /** Work done as last reported, and as of the last checkpoint, ms. */
  progressMs: number;
  checkpointedProgressMs: number;
  hasCheckpoint: boolean;
  failureCount: number;
  /** Expected end of the running attempt, ms; Infinity for services. */
  expectedEndMs: number;
  /** Position in the victim list of the team, or -1. */
  preemptiblePosition: number;
  /** Capacity held for this task alone. */
  reservation: Reservation | null;
}
