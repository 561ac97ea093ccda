import type { JournalJob } from '@acaciahoist/journal/journal-job';
import type { JobStatus } from '@acaciahoist/types/job-status';

/**
 * Builds the status of a job for callers from the journal's record of it and, until the job has ended, the
 * explanation of the placement core.
 */
export function describeJob(job: JournalJob, explanation: string | null): JobStatus {
  const status: JobStatus = {
    jobId: job.jobId,
    spec: job.spec,
    state: job.state,
    reason: job.outcome === null ? (explanation ?? job.reason) : job.reason,
    acceptedAtMs: job.acceptedAtMs,
    tasks: [...job.tasks.values()].map(({ taskId, worker, state }) => ({ taskId, worker, state })),
  };
  return {
    ...status,
    ...(job.outcome === null ? {} : { outcome: job.outcome }),
    ...(job.startedAtMs === null ? {} : { startedAtMs: job.startedAtMs }),
    ...(job.endedAtMs === null ? {} : { endedAtMs: job.endedAtMs }),
  };
}
