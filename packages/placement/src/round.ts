import { lifecycles } from '@acaciahoist/lifecycles';
import type { PartitionState } from './partition-state.js';
import type { Decision } from './decision.js';
import type { JobRecord } from './job-record.js';
import type { TaskRecord } from './task-record.js';
import { vectors } from './vectors.js';
import type { WorkerRecord } from './worker-record.js';

/** Added to the score of a worker on which the job failed; larger than any value of `scoreFit`. */
const AVOIDED_WORKER_PENALTY = 100;

/** A planning round in progress: the state of the partition, the time and the decisions made so far. */
export class Round {
  static create(partition: PartitionState, nowMs: number, wallMs: number): Round {
    return new Round(partition, nowMs, wallMs);
  }

  readonly decisions: Decision[] = [];
  private starts = 0;
  private searches = 0;
  /** Demands that fitted no worker in this round; demands at least as large are not searched for. */
  private unplaceableDemands: (readonly number[])[] = [];

  private constructor(
    readonly partition: PartitionState,
    readonly nowMs: number,
    readonly wallMs: number,
  ) {}

  /** True when the round has reached its limit of starts or of searches. */
  isFull(): boolean {
    const { startsPerRound, searchesPerRound } = this.partition.limits;
    return this.starts >= startsPerRound || this.searches >= searchesPerRound;
  }

  /** Returns the tightest fitting worker, one of `avoid` only if no other fits, or null. */
  findWorker(demand: readonly number[], avoid?: ReadonlySet<string>): WorkerRecord | null {
    if (this.unplaceableDemands.some((unplaceable) => vectors.fits(unplaceable, demand)))
      return null;
    this.searches += 1;
    const worker = this.partition.workerTable.find(demand, (candidate) => {
      const isAvoided = avoid !== undefined && avoid.size > 0 && avoid.has(candidate.address);
      return this.scoreFit(demand, candidate) + (isAvoided ? AVOIDED_WORKER_PENALTY : 0);
    });
    if (worker === null) this.unplaceableDemands.push(demand);
    return worker;
  }

  /** Counts searches that a policy made without `findWorker`. */
  countSearch(count = 1): void {
    this.searches += count;
  }

  /**
   * Scores the capacity that a start leaves free at the worker; a lower score is a tighter fit.
   * Unequal remainders of processors and memory raise the score, because they are harder to use.
   */
  scoreFit(demand: readonly number[], worker: WorkerRecord): number {
    const { free, capacity } = worker;
    const coresLeft =
      (vectors.at(free, 0) - vectors.at(demand, 0)) / Math.max(1, vectors.at(capacity, 0));
    const memoryLeft =
      (vectors.at(free, 1) - vectors.at(demand, 1)) / Math.max(1, vectors.at(capacity, 1));
    return coresLeft + memoryLeft + Math.abs(coresLeft - memoryLeft);
  }

  /** Starts a waiting or armed task. The caller has checked that it fits the worker. */
  start(task: TaskRecord, worker: WorkerRecord, reason: string): void {
    const { partition, nowMs } = this;
    const job = task.job;
    if (task.reservation !== null) partition.endReservation(task.reservation, 'release');
    partition.markStarted(task, worker, nowMs);
    this.starts += 1;
    this.decisions.push({
      type: 'start',
      jobId: job.id,
      taskId: task.id,
      group: task.group,
      worker: worker.address,
      resources: partition.resourceKinds.toResources(task.allocation),
      resume: task.hasCheckpoint,
      reason,
    });
    if (job.startedAtMs < 0) job.startedAtMs = nowMs;
    if (job.waitingTasks.length > 0) return;
    partition.getQueue(job).remove(job);
    if (job.placedCount + job.endedCount < job.tasks.length) return;
    // An armed task may start after the last waiting one.
    if (job.state !== 'running') job.state = lifecycles.job.step(job.state, 'run');
    partition.explain(job, 'placed', reason, nowMs);
  }

  /** Starts the next waiting task of the job. */
  startNext(job: JobRecord, worker: WorkerRecord, reason: string): void {
    const task = job.waitingTasks.pop();
    if (task !== undefined) this.start(task, worker, reason);
  }

  /** Decides to checkpoint or stop a task. Its capacity stays allocated until it has ended. */
  requestTaskEnd(task: TaskRecord, type: 'checkpoint' | 'stop', reason: string): void {
    if (lifecycles.task.next(task.state, type) === undefined) return;
    task.state = lifecycles.task.step(task.state, type);
    task.job.team.removePreemptible(task);
    this.addTaskDecision(task, type, reason);
  }

  /** Adds a decision about a task at its worker without a change of the task's state. */
  addTaskDecision(
    task: TaskRecord,
    type: 'checkpoint' | 'stop' | 'throttle',
    reason: string,
  ): void {
    const worker = task.worker?.address ?? '';
    this.decisions.push({ type, jobId: task.job.id, taskId: task.id, worker, reason });
  }

  /** Ends a job with the outcome `refused`. */
  refuseJob(job: JobRecord, reason: string): void {
    this.partition.endJob(job, 'refused', reason, this.nowMs);
    this.decisions.push({ type: 'refuse', jobId: job.id, reason });
  }
}
