import type { JobRecord } from './job-record.js';
import type { TaskRecord } from './task-record.js';
import type { WorkerRecord } from './worker-record.js';

/** Capacity held for one job until every planned worker has room. */
export interface Reservation {
  job: JobRecord;
  /** The single task that the capacity is for; null for a gang. */
  task: TaskRecord | null;
  state: 'draining' | 'ready' | 'used' | 'released';
  plan: Map<WorkerRecord, { demand: number[]; tasks: TaskRecord[] }>;
  /** Tasks whose checkpoint makes the room; empty when the plan waits for tasks to end. */
  preemptedTasks: TaskRecord[];
  createdAtMs: number;
  /** Latest check for overdue backfill, ms. */
  checkedAtMs: number;
  /** Expected time of readiness; work that ends earlier may use the held capacity. */
  readyAtMs: number;
}
