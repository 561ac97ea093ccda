import { lifecycles } from '@acaciahoist/lifecycles';
import type { Outcome } from '@acaciahoist/types/outcome';
import { DueHeap } from './due-heap.js';
import type { Explanation } from './explanation.js';
import { Families } from './families.js';
import type { JobEnd } from './job-end.js';
import { JobQueue } from './job-queue.js';
import type { JobRecord } from './job-record.js';
import type { Limits } from './limits.js';
import type { Reservation } from './reservation.js';
import { ResourceKinds } from './resource-kinds.js';
import type { TaskRecord } from './task-record.js';
import { Team } from './team.js';
import { vectors } from './vectors.js';
import type { WorkerRecord } from './worker-record.js';
import type { WorkerSpec } from './worker-spec.js';
import { WorkerTable } from './worker-table.js';

/** Number of latest ended jobs that `why` can explain. Older ones are dropped when twice as many are kept. */
const MIN_KEPT_ENDED_JOBS = 2_000;

/** State of the placement of one partition, with the operations that keep its totals consistent. */
export class PartitionState {
  static create(limits: Limits, seed: number): PartitionState {
    return new PartitionState(limits, seed);
  }

  readonly resourceKinds = ResourceKinds.create();
  readonly workerTable: WorkerTable;
  readonly families = Families.create();
  readonly teams = new Map<string, Team>();
  readonly jobs = new Map<string, JobRecord>();
  /** Tasks that have capacity at a worker, armed ones included, by the id of their latest run. */
  readonly tasks = new Map<string, TaskRecord>();
  readonly urgentQueue = JobQueue.create();
  readonly serviceQueue = JobQueue.create();
  readonly gangQueue = JobQueue.create();
  /** Scheduled jobs without workers, by the wall-clock time at which they are to be armed. */
  readonly jobsToArm = DueHeap.create<JobRecord>();
  /** Armed jobs by their start time on the wall clock. */
  readonly armedJobs = DueHeap.create<JobRecord>();
  /** Tasks in back-off by the monotonic time at which it ends. */
  readonly delayedTasks = DueHeap.create<TaskRecord>();
  /** Jobs whose tasks at workers must be stopped. */
  readonly jobsToStop: JobRecord[] = [];
  /** Jobs accepted before any capacity was known; whether a worker can hold them is checked later. */
  uncheckedJobs: JobRecord[] = [];
  /** Monotonic time at which the first worker with a known capacity was added, ms; -1 before. */
  firstWorkerAtMs = -1;
  readonly reservations = new Set<Reservation>();
  /** Workers whose tasks use more than their capacity. */
  readonly overloadedWorkers = new Set<WorkerRecord>();
  /** Leaving workers whose batch tasks have not been checkpointed yet. */
  readonly workersToDrain = new Set<WorkerRecord>();
  /** Workers that wait to be probed or are being probed. */
  readonly ejectedWorkers = new Set<WorkerRecord>();
  /** Service jobs with tasks to replace. */
  readonly servicesToReplace = new Set<JobRecord>();
  /** Number of services whose tasks all run, by family. */
  readonly readyServiceCounts = new Map<string, number>();
  /**
   * Incremented when capacity becomes free or a service becomes ready. A job or team that did not
   * fit is not tried again while the count is the same.
   */
  releaseCount = 0;
  private readonly endedJobIds: string[] = [];
  private sampleCursor = 0;
  private randomState: number;

  private constructor(
    readonly limits: Limits,
    seed: number,
  ) {
    this.workerTable = WorkerTable.create(limits.reservePerMille);
    this.randomState = seed >>> 0;
  }

  /** Returns the team with this name; adds it with a quota of 0 when it does not exist. */
  getOrAddTeam(name: string): Team {
    const existing = this.teams.get(name);
    if (existing !== undefined) return existing;
    const team = Team.create(name, 0);
    this.teams.set(name, team);
    return team;
  }

  /** Returns the queue in which a job waits for its tasks to be placed. */
  getQueue(job: JobRecord): JobQueue {
    if (job.spec.kind === 'gang') return this.gangQueue;
    if (job.spec.urgent || job.spec.startAtMs !== undefined) return this.urgentQueue;
    return job.spec.kind === 'service' ? this.serviceQueue : job.team.queue;
  }

  /** Adds a job with waiting tasks to its queue; a gang only when all unfinished tasks wait. */
  enqueue(job: JobRecord): void {
    if (job.state !== 'waiting' || job.waitingTasks.length === 0) return;
    if (job.spec.kind === 'gang' && job.waitingTasks.length + job.endedCount < job.tasks.length)
      return;
    this.getQueue(job).add(job);
    job.blockedAtReleaseCount = -1;
    job.team.blockedAtReleaseCount = -1;
  }

  /** Returns the free capacity that a worker needs to run the task. */
  computeDemand(task: TaskRecord): number[] {
    const learnedDemand = this.families.estimateDemand(task);
    // A learned demand that exceeds every worker is ignored; otherwise the task could never start.
    return this.workerTable.fitsSomeWorker(learnedDemand) ? learnedDemand : task.demand;
  }

  /** Marks the task as starting at the worker; allocates capacity unless it was armed there. */
  markStarted(task: TaskRecord, worker: WorkerRecord, nowMs: number): void {
    task.state = lifecycles.task.step(task.state, 'start');
    if (task.worker === null) this.allocate(task, worker);
    task.startedAtMs = nowMs;
    if (worker.state === 'probing' && worker.probeTask === null) {
      worker.probeTask = task;
      this.workerTable.refresh(worker);
    }
    task.observedUsage = null;
    task.expectedEndAtMs = nowMs + this.families.estimateRemainingMs(task, 1);
    const { kind, repeatable, urgent } = task.job.spec;
    if (kind === 'batch' && repeatable && !urgent) task.job.team.addPreemptible(task);
  }

  /** Allocates capacity of the worker to the task and gives the run its id. */
  allocate(task: TaskRecord, worker: WorkerRecord): void {
    const job = task.job;
    task.runNumber += 1;
    task.id = `${job.id}/${task.group}.${task.index}.${task.runNumber}`;
    this.tasks.set(task.id, task);
    task.worker = worker;
    task.allocation = this.computeDemand(task);
    worker.tasks.add(task);
    job.placedCount += 1;
    this.adjustDomainCounts(task, worker, 1);
    this.adjustUsed(task, task.allocation, 1);
  }

  /** Frees the capacity that is allocated to the task. */
  deallocate(task: TaskRecord): void {
    const worker = task.worker;
    if (worker === null) return;
    this.tasks.delete(task.id);
    worker.tasks.delete(task);
    if (worker.overuse?.task === task) worker.overuse = null;
    if (worker.probeTask === task) worker.probeTask = null;
    task.job.placedCount -= 1;
    task.job.team.removePreemptible(task);
    this.adjustDomainCounts(task, worker, -1);
    this.adjustUsed(task, task.allocation, -1);
    task.worker = null;
    this.releaseCount += 1;
  }

  /** Sets the allocation to the greater of declared demand and reported usage. */
  recordUsage(task: TaskRecord, observed: readonly number[]): void {
    task.observedUsage = [...observed];
    const allocation = vectors.max(task.demand, observed);
    if (allocation.every((amount, i) => amount === vectors.at(task.allocation, i))) return;
    this.adjustUsed(task, task.allocation, -1);
    task.allocation = allocation;
    this.adjustUsed(task, allocation, 1);
  }

  /** Adds the amount to the reserved capacity of the worker, or with sign -1 subtracts it. */
  adjustReserved(worker: WorkerRecord, amount: readonly number[], sign: 1 | -1): void {
    vectors.addTo(worker.reserved, amount, sign);
    this.workerTable.refresh(worker);
    if (sign < 0) this.releaseCount += 1;
  }

  /** Ends the reservation and subtracts its capacity from the reserved capacity of its workers. */
  endReservation(reservation: Reservation, event: 'use' | 'release'): void {
    for (const [worker, workerPlan] of reservation.plan)
      this.adjustReserved(worker, workerPlan.demand, -1);
    reservation.plan.clear();
    reservation.state = lifecycles.reservation.step(reservation.state, event);
    const { job, task } = reservation;
    if (task === null) job.reservation = null;
    else task.reservation = null;
    if (task !== null && this.getQueue(job) === job.team.queue) job.team.reservationCount -= 1;
    this.reservations.delete(reservation);
  }

  /**
   * Ends the job and returns its outcome. While the job has tasks at workers, it only starts to
   * stop them and returns null; the job ends when these tasks have ended.
   */
  endJob(job: JobRecord, outcome: Outcome, reason: string, nowMs: number): JobEnd | null {
    if (job.state === 'ended' || (job.state === 'stopping' && job.placedCount > 0)) return null;
    this.getQueue(job).remove(job);
    this.endArmedTasks(job);
    if (job.placedCount > 0) {
      job.state = lifecycles.job.step(job.state, 'stop');
      job.outcomeAfterStop = outcome;
      this.jobsToStop.push(job);
      this.explain(job, 'stopping', reason, nowMs);
      return null;
    }
    job.state = lifecycles.job.step(job.state, 'end');
    job.outcome = outcome;
    // The tasks are dropped, so that ended jobs that are kept for `why` take little memory.
    job.waitingTasks = [];
    job.tasks = [];
    this.explain(job, 'ended', reason, nowMs);
    this.recordEndedJob(job.id);
    return { jobId: job.id, outcome, reason };
  }

  /** Ends the armed tasks of a job, which never ran, and frees their capacity. */
  private endArmedTasks(job: JobRecord): void {
    if (job.spec.startAtMs === undefined) return;
    for (const task of job.tasks) {
      if (task.state !== 'armed') continue;
      this.deallocate(task);
      task.state = lifecycles.task.step(task.state, 'end');
    }
  }

  /** Records the data on which the latest decision about the job was based. */
  explain(job: JobRecord, code: Explanation['code'], subject: string, atMs: number): void {
    job.explanation = {
      atMs,
      code,
      subject,
      sharePerMille: Math.round(job.team.share * 1000),
      quotaPerMille: job.team.quotaPerMille,
      untilMs: 0,
    };
  }

  /** Returns a number uniform in [0, 1); the sequence depends on the seed alone. */
  nextRandom(): number {
    this.randomState = (Math.imul(this.randomState, 1_664_525) + 1_013_904_223) >>> 0;
    return this.randomState / 4_294_967_296;
  }

  /** Whether the task made enough progress since its last checkpoint to be checkpointed again. */
  mayCheckpoint(task: TaskRecord): boolean {
    if (!task.hasCheckpoint) return true;
    return task.progressMs - task.checkpointedProgressMs >= this.limits.minCheckpointProgressMs;
  }

  /** Returns the workers round-robin, one per call, for searches that examine a bounded sample of them. */
  getNextWorker(): WorkerRecord | undefined {
    this.sampleCursor = (this.sampleCursor + 1) % Math.max(1, this.workerTable.workers.length);
    return this.workerTable.workers[this.sampleCursor];
  }

  /** Sets the place and the capacity of a worker whose capacity was unknown. */
  specifyWorker(worker: WorkerRecord, spec: WorkerSpec, capacity: readonly number[]): void {
    for (const task of worker.tasks) this.adjustDomainCounts(task, worker, -1);
    this.workerTable.specify(worker, spec, capacity);
    for (const task of worker.tasks) this.adjustDomainCounts(task, worker, 1);
  }

  /** Recomputes the shares of the teams after the total capacity changed. */
  refreshShares(): void {
    for (const team of this.teams.values()) {
      team.share = vectors.dominantShare(team.used, this.workerTable.totalCapacity);
    }
  }

  private adjustUsed(task: TaskRecord, amount: readonly number[], sign: 1 | -1): void {
    const worker = task.worker;
    if (worker === null) return;
    vectors.addTo(worker.used, amount, sign);
    this.workerTable.refresh(worker);
    const team = task.job.team;
    vectors.addTo(team.used, amount, sign);
    team.share = vectors.dominantShare(team.used, this.workerTable.totalCapacity);
  }

  private adjustDomainCounts(task: TaskRecord, worker: WorkerRecord, change: 1 | -1): void {
    if (task.job.spec.kind !== 'service') return;
    const domains = task.job.taskCountByDomain;
    for (const name of worker.domains) {
      domains.set(name, (domains.get(name) ?? 0) + change);
    }
  }

  /** Records the end of a job and drops the oldest ended jobs when too many are kept. */
  private recordEndedJob(jobId: string): void {
    this.endedJobIds.push(jobId);
    if (this.endedJobIds.length < 2 * MIN_KEPT_ENDED_JOBS) return;
    for (const id of this.endedJobIds.splice(0, MIN_KEPT_ENDED_JOBS)) this.jobs.delete(id);
  }
}
