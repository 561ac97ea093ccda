import type { JobSpec } from './job-spec.js';
import type { Outcome } from './outcome.js';
import type { PartitionId } from './partition-id.js';
import type { RecordedReply } from './recorded-reply.js';
import type { TaskOutcome } from './task-outcome.js';

/** One entry in the journal of a partition. Times are wall-clock ms. */
export type JournalEntry =
  | { type: 'job-accepted'; jobId: string; spec: JobSpec; atMs: number }
  /** A service has a new spec; its instances are replaced one at a time. */
  | { type: 'job-respecified'; jobId: string; spec: JobSpec; atMs: number }
  /** The owner decided to start the task at the worker; the start may have been sent. */
  | {
      type: 'task-assigned';
      jobId: string;
      taskId: string;
      group: number;
      worker: string;
      workerIncarnation?: string;
      atMs: number;
    }
  /**
   * The owner selected the worker of a task with a start time, at which the task is started without a
   * further record.
   */
  | {
      type: 'task-armed';
      jobId: string;
      taskId: string;
      group: number;
      worker: string;
      workerIncarnation?: string;
      atMs: number;
    }
  | { type: 'task-started'; taskId: string; atMs: number }
  | { type: 'task-ended'; taskId: string; outcome: TaskOutcome; atMs: number }
  | { type: 'cancel-requested'; jobId: string; atMs: number }
  | { type: 'job-ended'; jobId: string; outcome: Outcome; reason: string; atMs: number }
  /** Appended to the log before the first byte of the request is sent to a runner. */
  | {
      type: 'key-claimed';
      key: string;
      /** SHA-256 of service name and request body. */
      requestDigest: string;
      service: string;
      user: string;
      team: string;
      atMs: number;
    }
  | { type: 'key-done'; key: string; outcome: Outcome; reply: RecordedReply | null; atMs: number }
  | { type: 'key-expired'; key: string; atMs: number }
  /** The partition of the key has no worker, so `partition` accepts the job with this key. */
  | {
      type: 'job-key-delegated';
      key: string;
      /** SHA-256 of the job spec. */
      specDigest: string;
      partition: PartitionId;
      atMs: number;
    }
  /** Numbers of repeatable requests, sent by the entry process that served them. */
  | {
      type: 'requests-counted';
      process: string;
      incarnation: string;
      sequence: number;
      rows: readonly {
        user: string;
        team: string;
        service: string;
        outcome: Outcome;
        count: number;
        waitMs: number;
      }[];
      atMs: number;
    }
  | { type: 'period-closed'; period: string; atMs: number };
