import type { TaskRef } from '@acaciahoist/cell-types/task-ref';

/** Number of digits of a job id; the name of a task begins with the id of its job. */
const JOB_ID_LENGTH = 16;
const TASK_NAME_PATTERN = /^([0-9a-f]{16})\.(\d{1,6})\.(\d{1,4})\.(\d{1,6})$/;

/** Formats and parses the names of tasks in records and on workers: `job.occurrence.step.index`. */
export const taskName = {
  format(ref: TaskRef): string {
    return `${ref.job}.${ref.occurrence}.${ref.step}.${ref.index}`;
  },

  /** Returns the id of the job from the name of a task or the key of a step. */
  jobOf(name: string): string {
    return name.slice(0, JOB_ID_LENGTH);
  },

  /** Parses the name of a task; returns undefined for any other text. */
  parse(name: string): TaskRef | undefined {
    const match = TASK_NAME_PATTERN.exec(name);
    if (match === null) return undefined;
    return {
      job: match[1] ?? '',
      occurrence: Number(match[2]),
      step: Number(match[3]),
      index: Number(match[4]),
    };
  },
};
