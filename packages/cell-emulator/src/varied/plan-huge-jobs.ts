import type { Random } from '@acaciahoist/random';
import { computeJobBytes } from '@acaciahoist/cell-state/compute-job-bytes';
import { cellLimits } from '@acaciahoist/cell-types/cell-limits';
import { jobLimits } from '@acaciahoist/cell-types/job-limits';
import type { SchedulePlan } from './schedule-plan.js';

/** Number of jobs that take more than `MAX_BYTES` together. */
const JOB_COUNT = 24;
const SUBMIT_INTERVAL_MS = 150;
/** Time in ms after the last submission at which all of the jobs are cancelled. */
const CANCEL_DELAY_MS = 2_500;
/** The fronts together may exceed the limit by what they accept before they learn of each other's jobs. */
const MAX_BYTES = 2 * cellLimits.openJobBytes;

/** Plans more jobs of 20,000 tasks than the processes have memory for. */
export function planHugeJobs(plan: SchedulePlan, random: Random): void {
  const { cell } = plan;
  const jobs = Array.from({ length: JOB_COUNT }, () =>
    plan.createJob([{ count: jobLimits.tasks, millicores: 2_000, estimateMs: 60_000 }], {
      priority: 3,
    }),
  );
  const firstAtMs = random.integer(500, 4_000);
  for (const [index, job] of jobs.entries())
    plan.submitAt(firstAtMs + index * SUBMIT_INTERVAL_MS, job, random);
  const cancelAtMs = firstAtMs + JOB_COUNT * SUBMIT_INTERVAL_MS + CANCEL_DELAY_MS;
  let bytes = 0;
  plan.at(cancelAtMs, () => {
    bytes = jobs
      .filter(({ id }) => cell.acceptedJobs.has(id))
      .reduce((sum, job) => sum + computeJobBytes(job), 0);
  });
  for (const [index, job] of jobs.entries())
    // A process may be down when the first cancel of a job is sent.
    for (let attempt = 0; attempt < 3; attempt += 1)
      plan.at(cancelAtMs + 20 * index + 5_000 * attempt, () =>
        cell.cancelledAtMs.has(job.id) ? undefined : cell.cancel(job.id, `p${attempt}`),
      );
  plan.checks.push(() =>
    bytes > MAX_BYTES ? [`jobs of ${bytes} bytes are open, not ${MAX_BYTES} bytes at most`] : [],
  );
}
