import { lifecycles } from '@acaciahoist/lifecycles';
import type { JobSpec } from '@acaciahoist/types/job-spec';
import type { PartitionState } from './partition-state.js';
import type { JobRecord } from './job-record.js';
import type { TaskRecord } from './task-record.js';

function createTask(job: JobRecord, group: number, index: number, demand: number[]): TaskRecord {
  return {
    job,
    group,
    index,
    runNumber: 0,
    id: '',
    state: lifecycles.task.initial,
    worker: null,
    demand,
    allocation: demand,
    observedUsage: null,
    startedAtMs: 0,
    isStartConfirmed: false,
    earliestStartAtMs: 0,
    progressMs: 0,
    checkpointedProgressMs: 0,
    hasCheckpoint: false,
    failureCount: 0,
    expectedEndAtMs: Infinity,
    preemptiblePosition: -1,
    reservation: null,
  };
}

/** Creates the record of a job, with all its tasks waiting. */
export function createJob(
  partition: PartitionState,
  jobId: string,
  spec: JobSpec,
  nowMs: number,
): JobRecord {
  const job: JobRecord = {
    id: jobId,
    spec,
    team: partition.getOrAddTeam(spec.team),
    family: partition.families.getOrAdd(spec.family),
    state: lifecycles.job.initial,
    outcome: null,
    outcomeAfterStop: null,
    tasks: [],
    waitingTasks: [],
    placedCount: 0,
    endedCount: 0,
    completedCount: 0,
    confirmedCount: 0,
    submittedAtMs: nowMs,
    startedAtMs: -1,
    queueEntry: null,
    isRestarting: false,
    failedWorkers: new Set(),
    taskCountByDomain: new Map(),
    reservation: null,
    tasksToReplace: [],
    blockedAtReleaseCount: -1,
    explanation: null,
  };
  spec.groups.forEach((group, groupIndex) => {
    const demand = partition.resourceKinds.toVector(group.resources);
    for (let index = 0; index < group.count; index += 1) {
      job.tasks.push(createTask(job, groupIndex, index, demand));
    }
  });
  // Tasks are taken from the end, so that the first group starts first.
  job.waitingTasks = [...job.tasks].reverse();
  return job;
}
