import type { CellJob } from '@acaciahoist/cell-types';

/** Memory in bytes that a replica takes for the parts of a job, rounded up. */
const JOB_BYTES = 2_000;
const OCCURRENCE_STEP_BYTES = 160;
const TASK_BYTES = 100;

/** Estimates the memory in bytes that a replica takes for a job that has not ended. */
export function computeJobBytes({ payload, steps, occurrences }: CellJob): number {
  const tasks = steps.reduce((sum, { count }) => sum + count, 0);
  return (
    JOB_BYTES +
    Buffer.byteLength(payload) +
    occurrences * (steps.length * OCCURRENCE_STEP_BYTES + tasks * TASK_BYTES)
  );
}
