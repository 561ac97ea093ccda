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
  /** Tasks that wait for a worker, except those in back-off; the next one last. */
  waitingTasks: TaskRecord[];
  /** Tasks that have capacity at a worker, ended tasks that do not run again, and completed tasks. */
  placedCount: number;
  endedCount: number;
  completedCount: number;
  /** Tasks whose run the worker confirmed. */
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
  /** Tasks of a service by region, data centre and rack, for spreading. */
  taskCountByDomain: Map<string, number>;
  /** Reservation of a gang. */
  reservation: Reservation | null;
  /** Runs of a service that are to be replaced one at a time. */
  tasksToReplace: { task: TaskRecord; taskId: string }[];
  /** `releaseCount` of the cell at which the job did not fit; -1 when it is to be tried. */
  blockedAtReleaseCount: number;
  explanation: Explanation | null;
}
