import type { Resources } from '@acaciahoist/types/resources';

/** What every decision names. */
interface JobDecision {
  jobId: string;
  reason: string;
}

interface TaskDecision extends JobDecision {
  taskId: string;
  worker: string;
}

/** One decision of the core. Carrying it out is up to the caller. */
export type Decision =
  | (TaskDecision & {
      type: 'start';
      group: number;
      /** What admission counts for the task. */
      resources: Resources;
      /** True when the task resumes a checkpoint. */
      resume: boolean;
    })
  /** Reserves a worker for a scheduled task; the later `start` names the same worker and task. */
  | (TaskDecision & { type: 'arm'; group: number; resources: Resources })
  | (TaskDecision & { type: 'checkpoint' | 'throttle' | 'stop' })
  /** The job never ran and never will. */
  | (JobDecision & { type: 'refuse' });
