import type { TaskState } from '@acaciahoist/lifecycles/task-state';
import type { JobRecord } from './job-record.js';
import type { Reservation } from './reservation.js';
import type { WorkerRecord } from './worker-record.js';

/** One task of a job. Each run has its own id, because workers refuse an id that they received before. */
export interface TaskRecord {
  job: JobRecord;
  /** Position of its group in the job, and of the task in the group. */
  group: number;
  index: number;
  /** Number of the latest run, armed ones included; 0 before the first. Part of the task id. */
  runNumber: number;
  /** Id of the latest run, empty before the first. */
  id: string;
  state: TaskState;
  worker: WorkerRecord | null;
  /** Declared demand. */
  demand: number[];
  /**
   * Capacity allocated to the run: the declared demand, raised to the learned demand at the start
   * and to the reported usage after a report.
   */
  allocation: number[];
  /** Usage in the latest report of the run, or null. */
  observedUsage: number[] | null;
  /** Time of the latest start, ms; 0 before the first. */
  startedAtMs: number;
  /** True when the worker reported that the run started. */
  isStartConfirmed: boolean;
  /** Earliest time of the next start after a failure, ms. */
  earliestStartAtMs: number;
  /** Progress as last reported, and as of the last checkpoint, ms of work done. */
  progressMs: number;
  checkpointedProgressMs: number;
  hasCheckpoint: boolean;
  /** Failures since the last stable run of a service task; all failures for other tasks. */
  failureCount: number;
  /** Expected end of the current run, ms; Infinity for services. */
  expectedEndAtMs: number;
  /** Position in `preemptibleTasks` of the team, or -1. */
  preemptiblePosition: number;
  /** Reservation for this task alone, or null. */
  reservation: Reservation | null;
}
