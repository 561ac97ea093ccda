import { JobState } from '@acaciahoist/types/job-state';
import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import { countOutcome } from './count-outcome.js';
import type { JournalJob } from './journal-job.js';
import { JournalLimits } from './journal-limits.js';
import type { JournalPolicy } from './journal-policy.js';
import type { JournalState } from './journal-state.js';
import type { JournalTask } from './journal-task.js';

type Entry<Type extends JournalEntry['type']> = JournalEntry & { type: Type };

function acceptJob(state: JournalState, entry: Entry<'job-accepted'>): boolean {
  const { spec, jobId } = entry;
  if (state.jobs.has(jobId)) return false;
  // At most one job per idempotency key, even when two submissions with the key were recorded.
  if (spec.key !== undefined && state.jobKeys.has(spec.key)) return false;
  if (spec.key !== undefined && state.delegatedJobKeys.has(spec.key)) return false;
  state.jobs.set(jobId, {
    jobId,
    spec,
    state: JobState.waiting,
    outcome: null,
    reason: '',
    acceptedAtMs: entry.atMs,
    startedAtMs: null,
    endedAtMs: null,
    cancelAtMs: null,
    tasks: new Map(),
    endedTasks: new Set(),
    ended: spec.groups.map(() => ({
      completed: 0,
      failed: 0,
      refused: 0,
      stopped: 0,
      checkpointed: 0,
      lapsed: 0,
    })),
    running: 0,
    millicoreMs: 0n,
    mibMs: 0n,
  });
  if (spec.key !== undefined) state.jobKeys.set(spec.key, jobId);
  const jobNumber = Number(jobId.slice(jobId.lastIndexOf(':') + 1));
  if (Number.isSafeInteger(jobNumber)) {
    state.nextJobNumber = Math.max(state.nextJobNumber, jobNumber + 1);
  }
  return true;
}

function respecifyJob(state: JournalState, entry: Entry<'job-respecified'>): boolean {
  const job = state.jobs.get(entry.jobId);
  if (job === undefined || job.state === JobState.ended) return false;
  // The counts of ended tasks are indexed by group, so the number of groups must stay the same.
  if (job.spec.groups.length !== entry.spec.groups.length) return false;
  job.spec = entry.spec;
  return true;
}

function addTask(state: JournalState, entry: Entry<'task-assigned' | 'task-armed'>): boolean {
  const job = state.jobs.get(entry.jobId);
  if (job === undefined || job.state === JobState.ended) return false;
  if (state.taskJobs.has(entry.taskId) || job.ended[entry.group] === undefined) return false;
  const isArmed = entry.type === 'task-armed';
  const { taskId, jobId, group, worker, atMs } = entry;
  job.tasks.set(taskId, {
    taskId,
    group,
    worker,
    workerIncarnation: entry.workerIncarnation ?? '',
    state: isArmed ? 'armed' : 'assigned',
    outcome: null,
    assignedAtMs: atMs,
    startedAtMs: null,
    endedAtMs: null,
  });
  state.taskJobs.set(taskId, jobId);
  if (!isArmed) return true;
  const startAtMs = job.spec.startAtMs ?? null;
  state.armed.set(taskId, { jobId, taskId, worker, armedAtMs: atMs, startAtMs });
  if (job.state === JobState.waiting) job.state = JobState.armed;
  return true;
}

/**
 * Sets the state to `running` when every task runs or has completed, otherwise to `waiting`. A job that
 * is stopping or has ended keeps its state.
 */
function updateJobState(job: JournalJob): void {
  if (job.state === JobState.stopping || job.state === JobState.ended) return;
  const total = job.spec.groups.reduce((sum, group) => sum + group.count, 0);
  const completed = job.ended.reduce((sum, ended) => sum + ended.completed, 0);
  job.state = job.running + completed >= total ? JobState.running : JobState.waiting;
}

function findTask(
  state: JournalState,
  taskId: string,
): { job: JournalJob; task: JournalTask } | undefined {
  const job = state.jobs.get(state.taskJobs.get(taskId) ?? '');
  const task = job?.tasks.get(taskId);
  return job && task && { job, task };
}

function startTask(state: JournalState, entry: Entry<'task-started'>): boolean {
  const match = findTask(state, entry.taskId);
  if (match === undefined) return false;
  const { job, task } = match;
  if (task.state === 'running' || task.state === 'ended') return false;
  task.state = 'running';
  task.startedAtMs = entry.atMs;
  job.startedAtMs ??= entry.atMs;
  job.running += 1;
  state.armed.delete(entry.taskId);
  updateJobState(job);
  return true;
}

/** Removes the oldest ended tasks of a job until at most `maxCount` are kept. */
function trimEndedTasks(state: JournalState, job: JournalJob, maxCount: number): void {
  for (const taskId of job.endedTasks) {
    if (job.endedTasks.size <= maxCount) return;
    job.endedTasks.delete(taskId);
    job.tasks.delete(taskId);
    state.taskJobs.delete(taskId);
  }
}

function endTask(state: JournalState, policy: JournalPolicy, entry: Entry<'task-ended'>): boolean {
  const match = findTask(state, entry.taskId);
  if (match === undefined) return false;
  const { job, task } = match;
  if (task.state === 'ended') return false;
  if (task.state === 'running') job.running -= 1;
  task.state = 'ended';
  task.outcome = entry.outcome;
  task.endedAtMs = entry.atMs;
  state.armed.delete(entry.taskId);
  job.endedTasks.add(entry.taskId);
  const endedCounts = job.ended[task.group];
  if (endedCounts !== undefined) endedCounts[entry.outcome] += 1;
  const resources = job.spec.groups[task.group]?.resources;
  const runMs = Math.max(0, Math.round(entry.atMs - (task.startedAtMs ?? entry.atMs)));
  const millicoreMs = BigInt(runMs) * BigInt(resources?.millicores ?? 0);
  const mibMs = BigInt(runMs) * BigInt(resources?.memoryMib ?? 0);
  job.millicoreMs += millicoreMs;
  job.mibMs += mibMs;
  updateJobState(job);
  if (job.outcome === null) {
    trimEndedTasks(state, job, JournalLimits.endedTasksPerJob);
    return true;
  }
  // The job was counted when it ended; the use of tasks that end later is added with a count of 0.
  const { user, team } = job.spec;
  const row = { user, team, outcome: job.outcome, count: 0, waitMs: 0, millicoreMs, mibMs };
  countOutcome(state, policy, entry.atMs, row);
  trimEndedTasks(state, job, JournalLimits.tasksPerEndedJob);
  return true;
}

function requestCancel(state: JournalState, entry: Entry<'cancel-requested'>): boolean {
  const job = state.jobs.get(entry.jobId);
  if (job?.cancelAtMs !== null || job.state === JobState.ended) return false;
  job.cancelAtMs = entry.atMs;
  job.state = JobState.stopping;
  return true;
}

function endJob(state: JournalState, policy: JournalPolicy, entry: Entry<'job-ended'>): boolean {
  const job = state.jobs.get(entry.jobId);
  if (job?.outcome !== null) return false;
  job.state = JobState.ended;
  job.outcome = entry.outcome;
  job.reason = entry.reason;
  job.endedAtMs = entry.atMs;
  job.keptSinceMs = state.elapsedMs;
  for (const task of job.tasks.values())
    if (task.state === 'armed') state.armed.delete(task.taskId);
  trimEndedTasks(state, job, JournalLimits.tasksPerEndedJob);
  if (job.spec.key === undefined) state.endedJobs.add(job.jobId);
  else state.endedKeyedJobs.add(job.jobId);
  const readyAtMs = Math.max(job.acceptedAtMs, job.spec.startAtMs ?? 0);
  const waitMs = Math.max(0, Math.round((job.startedAtMs ?? entry.atMs) - readyAtMs));
  const { user, team } = job.spec;
  const { outcome, millicoreMs, mibMs } = job;
  const row = { user, team, outcome, count: 1, waitMs, millicoreMs, mibMs };
  countOutcome(state, policy, entry.atMs, row);
  return true;
}

/** Applies an entry about a job or task. Returns false when it has no effect. */
export function applyJobEntry(
  state: JournalState,
  policy: JournalPolicy,
  entry: Entry<
    | 'job-accepted'
    | 'job-respecified'
    | 'task-assigned'
    | 'task-armed'
    | 'task-started'
    | 'task-ended'
    | 'cancel-requested'
    | 'job-ended'
  >,
): boolean {
  switch (entry.type) {
    case 'job-accepted':
      return acceptJob(state, entry);
    case 'job-respecified':
      return respecifyJob(state, entry);
    case 'task-assigned':
    case 'task-armed':
      return addTask(state, entry);
    case 'task-started':
      return startTask(state, entry);
    case 'task-ended':
      return endTask(state, policy, entry);
    case 'cancel-requested':
      return requestCancel(state, entry);
    case 'job-ended':
      return endJob(state, policy, entry);
  }
}
