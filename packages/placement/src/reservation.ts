import type { JobRecord } from './job-record.js';
import type { TaskRecord } from './task-record.js';
import type { WorkerRecord } from './worker-record.js';

/** Capacity reserved for a task or a gang until every planned worker has enough of it free. */
export interface Reservation {
  job: JobRecord;
  /** The task that the capacity is for; null for a gang. */
  task: TaskRecord | null;
  state: 'draining' | 'ready' | 'used' | 'released';
  /** Tasks to start on each worker and the sum of their demands. */
  plan: Map<WorkerRecord, { demand: number[]; tasks: TaskRecord[] }>;
  /** Tasks whose checkpoint frees the capacity; empty when the plan waits for tasks to end. */
  preemptedTasks: TaskRecord[];
  createdAtMs: number;
  /** Time of the latest check of a gang's plan for grown services and overdue backfill, ms. */
  checkedAtMs: number;
  /** Time at which the capacity is expected to be free, ms; tasks that end earlier may use it. */
  readyAtMs: number;
}
