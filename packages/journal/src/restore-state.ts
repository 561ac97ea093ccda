import { err, ok, type Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import type { AccountRow } from './account-row.js';
import type { ArmedTask } from './armed-task.js';
import type { ClosedPeriod } from './closed-period.js';
import type { DelegatedJobKey } from './delegated-job-key.js';
import { hasFields } from './has-fields.js';
import type { JournalJob } from './journal-job.js';
import type { JournalKey } from './journal-key.js';
import type { JournalState } from './journal-state.js';
import type { JournalTask } from './journal-task.js';

type SavedJob = Omit<JournalJob, 'tasks' | 'endedTasks'> & {
  tasks: JournalTask[];
  endedTasks: string[];
};

interface SavedState {
  version: number;
  jobs: SavedJob[];
  /** Absent in snapshots of versions that do not delegate keys. */
  delegatedJobKeys?: DelegatedJobKey[];
  keys: JournalKey[];
  armed: ArmedTask[];
  openPeriods: [string, [string, AccountRow][]][];
  openPeriod: string;
  closedPeriods: ClosedPeriod[];
  counted: [string, { sequence: number; atMs: number; keptSinceMs?: number }][];
  /** Absent, as is `termStartMs`, in snapshots of versions that count the lifetimes by wall time. */
  elapsedMs?: number;
  termStartMs?: number;
  nextJobNumber: number;
  endedJobs: string[];
  endedKeyedJobs: string[];
  doneKeys: string[];
  keysWithBody: string[];
  bodyBytes: number;
  ignoredEntries: number;
}

const savedFields = {
  version: 'offset',
  jobs: 'array',
  keys: 'array',
  armed: 'array',
  openPeriods: 'array',
  openPeriod: 'string',
  closedPeriods: 'array',
  counted: 'array',
  nextJobNumber: 'offset',
  endedJobs: 'array',
  endedKeyedJobs: 'array',
  doneKeys: 'array',
  keysWithBody: 'array',
  bodyBytes: 'offset',
  ignoredEntries: 'offset',
} as const;

function restoreJob(saved: SavedJob): JournalJob {
  return {
    ...saved,
    tasks: new Map(saved.tasks.map((task) => [task.taskId, task])),
    endedTasks: new Set(saved.endedTasks),
  };
}

function isTime(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/**
 * Restarts the lifetimes of all items when the snapshot has no time of the partition. An earlier version
 * that has read a newer snapshot writes the `keptSinceMs` of its items without the time that they refer to.
 */
function restartLifetimes(saved: SavedState): SavedState {
  if (isTime(saved.elapsedMs) && isTime(saved.termStartMs)) return saved;
  const restart = <Item extends { keptSinceMs?: number }>(item: Item): Item =>
    item.keptSinceMs === undefined ? item : { ...item, keptSinceMs: 0 };
  return {
    ...saved,
    elapsedMs: 0,
    termStartMs: 0,
    jobs: saved.jobs.map(restart),
    delegatedJobKeys: (saved.delegatedJobKeys ?? []).map(restart),
    keys: saved.keys.map(restart),
    counted: saved.counted.map(([incarnationKey, count]) => [incarnationKey, restart(count)]),
  };
}

function buildState(saved: SavedState): JournalState {
  const jobs = saved.jobs.map(restoreJob);
  const taskJobs = jobs.flatMap((job) =>
    [...job.tasks.keys()].map((taskId): [string, string] => [taskId, job.jobId]),
  );
  const jobKeys = jobs.flatMap((job): [string, string][] =>
    job.spec.key === undefined ? [] : [[job.spec.key, job.jobId]],
  );
  const openPeriods = saved.openPeriods.map(([period, rows]): [string, Map<string, AccountRow>] => [
    period,
    new Map(rows),
  ]);
  return {
    jobs: new Map(jobs.map((job) => [job.jobId, job])),
    taskJobs: new Map(taskJobs),
    jobKeys: new Map(jobKeys),
    delegatedJobKeys: new Map(
      (saved.delegatedJobKeys ?? []).map((delegatedKey) => [delegatedKey.key, delegatedKey]),
    ),
    keys: new Map(saved.keys.map((key) => [key.key, key])),
    armed: new Map(saved.armed.map((task) => [task.taskId, task])),
    openPeriods: new Map(openPeriods),
    openPeriod: saved.openPeriod,
    closedPeriods: saved.closedPeriods,
    counted: new Map(saved.counted),
    elapsedMs: saved.elapsedMs ?? 0,
    termStartMs: saved.termStartMs ?? 0,
    nextJobNumber: saved.nextJobNumber,
    endedJobs: new Set(saved.endedJobs),
    endedKeyedJobs: new Set(saved.endedKeyedJobs),
    doneKeys: new Set(saved.doneKeys),
    keysWithBody: new Set(saved.keysWithBody),
    bodyBytes: saved.bodyBytes,
    ignoredEntries: saved.ignoredEntries,
  };
}

/**
 * Rebuilds the state from a snapshot. Fails with `bad-request` when a field is missing or malformed, or
 * when the version is unknown.
 */
export function restoreState(value: unknown): Result<JournalState, Failure> {
  const message = 'The state of the snapshot is malformed';
  if (!hasFields(value, savedFields) || (value as SavedState).version !== 1) {
    return err(Failure.create('bad-request', `${message}.`));
  }
  try {
    return ok(buildState(restartLifetimes(value as SavedState)));
  } catch (error) {
    return err(Failure.create('bad-request', `${message}: ${String(error)}.`));
  }
}
