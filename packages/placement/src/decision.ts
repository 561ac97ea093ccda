import type { Resources } from '@acaciahoist/types/resources';

/** Fields of every decision. */
interface JobDecision {
  jobId: string;
  reason: string;
}

/** Fields of every decision about a task. */
interface TaskDecision extends JobDecision {
  taskId: string;
  worker: string;
}

/** One decision of a planning round. The caller carries it out. */
export type Decision =
  | (TaskDecision & {
      type: 'start';
      group: number;
      /** Capacity allocated to the task. */
      resources: Resources;
      /** True when the task resumes a checkpoint. */
      resume: boolean;
    })
  /** Allocates capacity to a scheduled task; the later `start` has the same worker and task id. */
  | (TaskDecision & { type: 'arm'; group: number; resources: Resources })
  | (TaskDecision & { type: 'checkpoint' | 'throttle' | 'stop' })
  /** Ends a job that never ran. */
  | (JobDecision & { type: 'refuse' });
