import type { JobSpec } from '@acaciahoist/types/job-spec';
import type { JobState } from '@acaciahoist/types/job-state';
import type { Outcome } from '@acaciahoist/types/outcome';
import type { Explanation } from './explanation.js';
import type { Family } from './family.js';
import type { QueueEntry } from './queue-entry.js';
import type { Reservation } from './reservation.js';
import type { TaskRecord } from './task-record.js';
import type { Team } from './team.js';

/** One job. */
export interface JobRecord {
  id: string;
  spec: JobSpec;
  team: Team;
  family: Family;
  state: JobState;
  outcome: Outcome | null;
  /** Outcome to record when the tasks of a stopping job are over. */
  outcomeAfterStop: Outcome | null;
  tasks: TaskRecord[];
  /** Tasks without a worker, the next one last. */
  waiting: TaskRecord[];
  /** Tasks that occupy a worker, and those that are over. */
  placedCount: number;
  endedCount: number;
  completedCount: number;
  /** Service tasks confirmed to be running. */
  confirmedCount: number;
  submittedAtMs: number;
  startedAtMs: number;
  /** Place in the queue of its lane; null while it is not queued. */
  queueEntry: QueueEntry | null;
  /** True while a gang stops its tasks to start again as a whole. */
  isRestarting: boolean;
  /** Workers on which the job failed since its last success. */
  failedWorkers: Set<string>;
  /** Tasks by region, data centre and rack, for spreading. */
  taskCountByDomain: Map<string, number>;
  /** Reservation of a gang. */
  reservation: Reservation | null;
  /** Running service tasks to replace, one at a time. */
  tasksToReplace: { task: TaskRecord; taskId: string }[];
  /** Release count of the cell at which the job did not fit. */
  blockedAtReleaseCount: number;
  explanation: Explanation | null;
}
