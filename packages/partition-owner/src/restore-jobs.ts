import type { Clock } from '@acaciahoist/clock';
import type { JournalJob } from '@acaciahoist/journal/journal-job';
import type { JournalState } from '@acaciahoist/journal/journal-state';
import type { Placement } from '@acaciahoist/placement';
import type { JobEnd } from '@acaciahoist/placement/job-end';
import type { TaskTable } from './task-table.js';

/** Outcomes after which a run has certainly done all of its work or none of it. */
const SETTLED_OUTCOMES: readonly string[] = ['completed', 'refused'];

/**
 * Loads the jobs of the journal that have not ended into a new placement core. Assigned tasks count as
 * possibly running until their worker has answered. Returns the ends of jobs that cannot continue.
 */
export function restoreJobs(
  state: JournalState,
  placement: Placement,
  tasks: TaskTable,
  clock: Clock,
): JobEnd[] {
  const jobEnds: JobEnd[] = [];
  const unfinishedJobs = [...state.jobs.values()].filter((job) => job.outcome === null);
  for (const job of unfinishedJobs) {
    const jobEnd = restoreJob(job, placement, tasks, clock);
    if (jobEnd !== undefined) jobEnds.push(jobEnd);
  }
  return jobEnds;
}

function restoreJob(
  job: JournalJob,
  placement: Placement,
  tasks: TaskTable,
  clock: Clock,
): JobEnd | undefined {
  if (!job.spec.repeatable && hasUnsettledRun(job)) {
    // A run may have done part of the work, and the job is not repeatable.
    return {
      jobId: job.jobId,
      outcome: 'unknown',
      reason: 'an attempt ended without a certain result',
    };
  }
  const nowMs = clock.monotonicMs();
  const ageMs = Math.max(0, clock.wallMs() - job.acceptedAtMs);
  placement.restore(job.jobId, job.spec, nowMs - ageMs, clock.wallMs());
  for (const task of job.tasks.values()) {
    placement.adoptTask(
      {
        jobId: job.jobId,
        taskId: task.taskId,
        worker: task.worker,
        state: task.state === 'assigned' ? 'unknown' : task.state,
        ...(task.outcome === null ? {} : { outcome: task.outcome }),
        startedAtMs: nowMs - Math.max(0, clock.wallMs() - (task.startedAtMs ?? task.assignedAtMs)),
      },
      nowMs,
    );
    if (task.state === 'ended') continue;
    tasks.add({
      taskId: task.taskId,
      jobId: job.jobId,
      worker: task.worker,
      workerIncarnation: task.workerIncarnation,
      state: task.state === 'running' ? 'running' : 'starting',
      // A start that a predecessor sent carries its token, and a fenced worker refuses it. The start of
      // an armed task is still to be sent by this owner, so the reply to a fence call must not settle it.
      startableUntilMs: task.state === 'armed' ? Number.POSITIVE_INFINITY : nowMs,
    });
  }
  if (job.cancelAtMs === null) return undefined;
  const cancelled = placement.cancel(job.jobId, nowMs);
  return cancelled.isOk ? (cancelled.value ?? undefined) : undefined;
}

function hasUnsettledRun(job: JournalJob): boolean {
  return [...job.tasks.values()].some(
    (task) => task.state === 'ended' && !SETTLED_OUTCOMES.includes(task.outcome ?? ''),
  );
}
