import { Failure } from '@acaciahoist/errors';
import { lifecycles } from '@acaciahoist/lifecycles';
import type { JobSpec } from '@acaciahoist/types/job-spec';
import type { JobState } from '@acaciahoist/types/job-state';
import type { TaskOutcome } from '@acaciahoist/types/task-outcome';
import type { TeamQuota } from '@acaciahoist/types/team-quota';
import type { WorkerReport } from '@acaciahoist/types/worker-report';
import { err, ok } from 'true-myth/result';
import type { Result } from 'true-myth/result';
import { adoptTask } from './adopt-task.js';
import type { AdoptedTask } from './adopted-task.js';
import { PartitionState } from './partition-state.js';
import { validateJobSpec } from './validate-job-spec.js';
import { createJob } from './create-job.js';
import type { Decision } from './decision.js';
import { defaultLimits } from './default-limits.js';
import { defaultPolicy } from './default-policy.js';
import { describePartition } from './describe-partition.js';
import { formatExplanation } from './format-explanation.js';
import { findLimitingResource } from './find-limiting-resource.js';
import type { JobEnd } from './job-end.js';
import type { JobRecord } from './job-record.js';
import type { PlacementOptions } from './placement-options.js';
import type { PlacementView } from './placement-view.js';
import type { Policy } from './policy.js';
import { runRound } from './run-round.js';
import { taskEvents } from './task-events.js';
import { applyWorkerReport } from './apply-worker-report.js';
import { WorkerRecord } from './worker-record.js';
import type { WorkerSpec } from './worker-spec.js';

/**
 * Decides which task runs on which worker of one partition. It does no I/O and has no timers: calls
 * take the monotonic time and, where start times or due times matter, the wall-clock time, both in
 * ms. Calls that can end a job return its outcome; a job has exactly one.
 */
export class Placement {
  static create(options: PlacementOptions): Placement {
    const partition = PartitionState.create(
      { ...defaultLimits, ...options.limits },
      options.seed ?? 1,
    );
    const placement = new Placement(partition, options.policy ?? defaultPolicy);
    placement.setTeams(options.teams);
    return placement;
  }

  private isLastRoundFull = false;

  private constructor(
    private readonly partition: PartitionState,
    private readonly policy: Policy,
  ) {}

  /** Sets the quotas. Teams that are not listed keep their running work and get a quota of 0. */
  setTeams(teams: readonly TeamQuota[]): void {
    for (const team of this.partition.teams.values()) team.quotaPerMille = 0;
    for (const { name, quotaPerMille } of teams) {
      this.partition.getOrAddTeam(name).quotaPerMille = quotaPerMille;
    }
  }

  /**
   * Adds a worker, or sets the place and the capacity of one whose capacity was unknown. No other effect when the
   * address exists; call `setWorkerState` for a worker that returns.
   */
  addWorker(spec: WorkerSpec, nowMs: number): void {
    const { partition } = this;
    const capacity =
      spec.resources === null ? null : partition.resourceKinds.toVector(spec.resources);
    const known = partition.workerTable.byAddress.get(spec.address);
    if (known === undefined) partition.workerTable.add(WorkerRecord.create(spec, capacity));
    else if (!known.isCapacityKnown && capacity !== null)
      partition.specifyWorker(known, spec, capacity);
    else return;
    if (partition.firstWorkerAtMs < 0 && capacity !== null) partition.firstWorkerAtMs = nowMs;
    partition.refreshShares();
    partition.releaseCount += 1;
  }

  /**
   * Sets the state of a worker. `suspended`: it does not answer; its tasks keep their capacity and
   * are not placed again. `leaving`: it is draining; it gets no new starts, its batch tasks are
   * checkpointed and its service tasks are replaced one at a time. `active`: it accepts work again.
   */
  setWorkerState(address: string, state: 'active' | 'suspended' | 'leaving'): void {
    const { partition } = this;
    const worker = partition.workerTable.byAddress.get(address);
    if (worker === undefined) return;
    const event = { active: 'resume', suspended: 'suspend', leaving: 'leave' } as const;
    // A worker that was ejected for failures stays ejected until a task that probes it succeeds.
    if (state === 'active' && (worker.state === 'ejected' || worker.state === 'probing')) return;
    const nextState = lifecycles.worker.next(worker.state, event[state]);
    if (nextState === undefined || nextState === worker.state) return;
    worker.state = nextState;
    partition.ejectedWorkers.delete(worker);
    partition.workerTable.refresh(worker);
    partition.releaseCount += 1;
    if (nextState !== 'leaving') return;
    for (const task of worker.tasks) {
      if (task.job.spec.kind !== 'service') continue;
      task.job.tasksToReplace.push({ task, taskId: task.id });
      partition.servicesToReplace.add(task.job);
    }
    partition.workersToDrain.add(worker);
  }

  /** Lists the armed tasks of a worker, which have not been started. */
  listArmedTaskIds(address: string): readonly string[] {
    const worker = this.partition.workerTable.byAddress.get(address);
    return [...(worker?.tasks ?? [])].filter((task) => task.state === 'armed').map(({ id }) => id);
  }

  /**
   * Removes a worker whose tasks have certainly ended. Repeatable tasks are placed again; a job
   * with a task that is not repeatable ends as `unknown`.
   */
  removeWorker(address: string, nowMs: number): JobEnd[] {
    const { partition } = this;
    const worker = partition.workerTable.byAddress.get(address);
    if (worker === undefined) return [];
    worker.state = lifecycles.worker.step(worker.state, 'remove');
    partition.workerTable.remove(worker);
    partition.ejectedWorkers.delete(worker);
    partition.overloadedWorkers.delete(worker);
    partition.workersToDrain.delete(worker);
    const endedJobs: JobEnd[] = [];
    for (const task of [...worker.tasks]) {
      const endedJob = taskEvents.recordWorkerRemoval(partition, task, nowMs);
      if (endedJob !== null) endedJobs.push(endedJob);
    }
    partition.refreshShares();
    return endedJobs;
  }

  /**
   * Accepts a job. Fails with `never-runnable` (details: `resource`) when the job would not fit
   * even if all workers were idle, and with `bad-request` when it is malformed or its id exists.
   */
  submit(jobId: string, spec: JobSpec, nowMs: number, wallMs: number): Result<void, Failure> {
    const fault = validateJobSpec(spec);
    if (fault !== null) return err(Failure.create('bad-request', fault));
    const limitingResource = findLimitingResource(this.partition, spec);
    if (limitingResource !== null) {
      const message = `no worker of this partition has enough ${limitingResource}, even when it is empty`;
      return err(Failure.create('never-runnable', message, { resource: limitingResource }));
    }
    return this.restore(jobId, spec, nowMs, wallMs);
  }

  /** Adds a job that was accepted earlier, without checking again whether it can run. */
  restore(jobId: string, spec: JobSpec, nowMs: number, wallMs: number): Result<void, Failure> {
    const { partition } = this;
    if (partition.jobs.has(jobId)) {
      return err(Failure.create('bad-request', `job ${jobId} already exists`));
    }
    const job = createJob(partition, jobId, spec, nowMs);
    partition.jobs.set(jobId, job);
    if (!partition.workerTable.hasKnownCapacity) partition.uncheckedJobs.push(job);
    const { startAtMs } = spec;
    if (startAtMs !== undefined && startAtMs > wallMs) {
      partition.jobsToArm.push(startAtMs - partition.limits.armBeforeMs, job);
      partition.explain(job, 'scheduled', `${startAtMs} ms since the epoch`, nowMs);
      return ok(undefined);
    }
    partition.enqueue(job);
    return ok(undefined);
  }

  /** Sets the state of one task of a restored job; call before the first `decide`. */
  adoptTask(adopted: AdoptedTask, nowMs: number): Result<void, Failure> {
    return adoptTask(this.partition, adopted, nowMs);
  }

  /**
   * Cancels a job in O(1). Returns its outcome when no task of it is at a worker; otherwise null,
   * and the outcome follows when these tasks have ended. Repeated calls have no effect.
   */
  cancel(jobId: string, nowMs: number): Result<JobEnd | null, Failure> {
    const job = this.partition.jobs.get(jobId);
    if (job === undefined) return err(Failure.create('not-found', `job ${jobId} does not exist`));
    return ok(this.partition.endJob(job, 'cancelled', 'cancelled by its caller', nowMs));
  }

  /** Records the worker's confirmation that the task runs. */
  taskStarted(taskId: string): void {
    const task = this.partition.tasks.get(taskId);
    if (task !== undefined) taskEvents.confirmStart(this.partition, task);
  }

  /** Records that the worker certainly did not start the task; the task is placed again. */
  taskRefused(taskId: string, nowMs: number): JobEnd | null {
    const task = this.partition.tasks.get(taskId);
    return task === undefined ? null : taskEvents.recordRefusal(this.partition, task, nowMs);
  }

  /**
   * Records that a run of the task has certainly ended. The run of an armed task may have started without a
   * decision of this placement. Repeated calls have no effect.
   */
  taskEnded(
    taskId: string,
    outcome: TaskOutcome,
    nowMs: number,
    wallMs: number,
    progressMs = 0,
  ): JobEnd | null {
    const task = this.partition.tasks.get(taskId);
    if (task === undefined) return null;
    task.progressMs = Math.max(task.progressMs, progressMs);
    return taskEvents.recordEnd(this.partition, task, outcome, nowMs, wallMs);
  }

  /** Applies a worker's report. Stale and repeated reports have no effect. */
  usageReported(address: string, report: WorkerReport, nowMs: number, wallMs: number): JobEnd[] {
    const worker = this.partition.workerTable.byAddress.get(address);
    return worker === undefined
      ? []
      : applyWorkerReport(this.partition, worker, report, nowMs, wallMs);
  }

  /** Replaces the tasks of a service, one at a time, by tasks with the resources of `spec`. */
  replaceService(jobId: string, spec: JobSpec): Result<void, Failure> {
    const job = this.partition.jobs.get(jobId);
    if (job?.spec.kind !== 'service') {
      return err(Failure.create('not-found', `service ${jobId} does not exist`));
    }
    const hasSameGroups = spec.groups.length === job.spec.groups.length;
    if (
      !hasSameGroups ||
      spec.groups.some((group, i) => group.count !== job.spec.groups[i]?.count)
    ) {
      return err(
        Failure.create(
          'bad-request',
          `the replacement of service ${jobId} must have as many groups, with the same counts`,
        ),
      );
    }
    job.spec = { ...job.spec, groups: spec.groups };
    for (const task of job.tasks) {
      const group = spec.groups[task.group];
      if (group !== undefined) task.demand = this.partition.resourceKinds.toVector(group.resources);
      if (task.worker !== null) job.tasksToReplace.push({ task, taskId: task.id });
    }
    this.partition.servicesToReplace.add(job);
    return ok(undefined);
  }

  /** Runs one planning round of bounded duration; call again at once while `hasMore()` is true. */
  decide(nowMs: number, wallMs: number): Decision[] {
    const round = runRound(this.partition, this.policy, nowMs, wallMs);
    this.isLastRoundFull = round.isFull();
    return round.decisions;
  }

  /** True when the last planning round reached its limits, so that another may place more. */
  hasMore(): boolean {
    return this.isLastRoundFull;
  }

  /** Explains the latest decision about a job from the data behind it; null for an unknown job. */
  why(jobId: string, nowMs: number): string | null {
    const job = this.partition.jobs.get(jobId);
    if (job === undefined) return null;
    if (job.explanation === null)
      this.partition.explain(job, 'queued', this.describeQueue(job), nowMs);
    return job.explanation === null ? null : formatExplanation(job.explanation, nowMs);
  }

  /** Returns the state of a job, or null for an unknown job. */
  jobState(jobId: string): JobState | null {
    return this.partition.jobs.get(jobId)?.state ?? null;
  }

  /** Returns a summary for operators and metrics. */
  describe(): PlacementView {
    return describePartition(this.partition);
  }

  private describeQueue(job: JobRecord): string {
    return `${Math.max(0, this.partition.getQueue(job).size - 1)} other jobs of its queue`;
  }
}
