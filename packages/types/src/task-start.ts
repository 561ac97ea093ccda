import type { Resources } from './resources.js';

/** Order to start one task, as sent to a worker. */
export interface TaskStart {
  taskId: string;
  jobId: string;
  resources: Resources;
  /** The worker stops the task when its lease is not renewed for this time. */
  leaseMs: number;
  /** The worker refuses the order when it arrives later than this time after it was sent. */
  deadlineMs: number;
  /** Run time of the task, used by the workers of the stand-in; null for services. */
  runMs: number | null;
  /** True when the task resumes from a checkpoint. */
  resume: boolean;
}
