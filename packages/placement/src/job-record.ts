import type { JobSpec } from '@acaciahoist/types/job-spec';
import type { JobState } from '@acaciahoist/types/job-state';
import type { Outcome } from '@acaciahoist/types/outcome';
import type { Explanation } from './explanation.js';
import type { Family } from './family.js';
import type { QueueEntry } from './queue-entry.js';
import type { Reservation } from './reservation.js';
import type { TaskRecord } from './task-record.js';
import type { Team } from './team.js';

/** State of one job. */
export interface JobRecord {
  id: string;
  spec: JobSpec;
  team: Team;
  family: Family;
  state: JobState;
  outcome: Outcome | null;
  /** Outcome of a stopping job once its tasks have ended. */
  outcomeAfterStop: Outcome | null;
  tasks: TaskRecord[];
  /** Tasks that wait for a worker, except those in back-off. The last element is placed first. */
  waitingTasks: TaskRecord[];
  /** Number of tasks that have capacity at a worker. */
  placedCount: number;
  /** Number of tasks that have ended and do not run again. */
  endedCount: number;
  completedCount: number;
  /** Number of tasks whose start the worker has confirmed. */
  confirmedCount: number;
  submittedAtMs: number;
  /** Time of the first start, ms; -1 before. */
  startedAtMs: number;
  /** Entry in the queue that the job waits in; null while it is not queued. */
  queueEntry: QueueEntry | null;
  /** True while a gang stops its tasks to start again as a whole. */
  isRestarting: boolean;
  /** Addresses of the workers on which the job failed since its last success. */
  failedWorkers: Set<string>;
  /** Number of placed tasks of a service by region, data centre and rack, to spread them. */
  taskCountByDomain: Map<string, number>;
  /** Reservation of a gang. */
  reservation: Reservation | null;
  /** Runs of a service that are to be replaced one at a time. */
  tasksToReplace: { task: TaskRecord; taskId: string }[];
  /** `releaseCount` when the job last did not fit, else -1; it is tried again once the count differs. */
  blockedAtReleaseCount: number;
  explanation: Explanation | null;
}
