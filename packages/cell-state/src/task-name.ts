import type { TaskRef } from '@acaciahoist/cell-types/task-ref';

const NAME = /^([0-9a-f]{16})\.(\d{1,6})\.(\d{1,4})\.(\d{1,6})$/;

/** Names of tasks as they stand in records and on workers: `job.occurrence.step.index`. */
export const taskName = {
  format(ref: TaskRef): string {
    return `${ref.job}.${ref.occurrence}.${ref.step}.${ref.index}`;
  },

  /** Undefined for a text that names no task. */
  parse(name: string): TaskRef | undefined {
    const match = NAME.exec(name);
    if (match === null) return undefined;
    return {
      job: match[1] ?? '',
      occurrence: Number(match[2]),
      step: Number(match[3]),
      index: Number(match[4]),
    };
  },
};
