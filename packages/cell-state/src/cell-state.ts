import type { CellJob } from '@acaciahoist/cell-types';
import type { CellStep } from '@acaciahoist/cell-types/cell-step';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import { CellJobState } from '@acaciahoist/cell-types/cell-job-state';
import { jobLimits } from '@acaciahoist/cell-types/job-limits';
import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { CancelledIds } from './cancelled-ids.js';
import type { CellOwnerClaim } from './cell-owner-claim.js';
import { computeJobBytes } from './compute-job-bytes.js';
import { createOccurrence } from './create-occurrence.js';
import type { EndedJob } from './ended-job.js';
import { gangCheckpoint } from './gang-checkpoint.js';
import type { JobProgress } from './job-progress.js';
import { LeaseEnds } from './lease-ends.js';
import type { LeftoverRun } from './leftover-run.js';
import { RunStalls } from './run-stalls.js';
import type { StepProgress } from './step-progress.js';
import type { TaskProgress } from './task-progress.js';
import { TaskCopies } from './task-copies.js';
import { taskName } from './task-name.js';

/**
 * Maximum number of workers whose incarnation is kept: several times the workers of a large cell.
 * An owner records a dropped incarnation again when it reaches the worker.
 */
const MAX_INCARNATIONS = 4_096;

/** Maximum number of workers that are kept for each task on which it has failed, the newest ones. */
const MAX_FAILED_WORKERS = 8;

/**
 * Maximum number by which a token or a run number may exceed the offset of its record. Each new one is one above
 * the newest, so that those of this system never exceed the number of records; above the largest number of
 * all there would be no next one.
 */
const MAX_LEAD = 2 ** 32;

/**
 * Minimum time in ms between two renewals of an owner of an earlier version, which records no time of
 * its term.
 */
const EARLIER_VERSION_RENEWAL_MS = 250;

/**
 * State of the cell: a deterministic reduction of the cell log. Every process keeps a replica, so
 * that any process can answer clients and become the successor of the owner.
 */
export class CellState {
  /** Creates an empty state. Ended jobs are kept for at least `retentionMs`. */
  static create(retentionMs: number): CellState {
    return new CellState(retentionMs);
  }

  /** Jobs that have not ended, by id. */
  readonly jobs = new Map<string, JobProgress>();
  /** Jobs that ended within the retention time, by id, in the order of their ends. */
  readonly ended = new Map<string, EndedJob>();
  /** Ids whose cancel is in the log before any job of that id. */
  readonly cancelledIds: CancelledIds;
  /** Number of pending jobs by queue: accepted, not begun and without scheduled times. */
  readonly pendingCounts = new Map<string, number>();
  /** Estimated memory in bytes of the jobs that have not ended. */
  openJobBytes = 0;
  /** Start of the newest incarnation of each worker that an owner has reached, in Unix ms. */
  readonly incarnations = new Map<string, number>();
  /** Lease ends of the workers that the owner does not reach. */
  readonly leaseEnds = LeaseEnds.create();
  readonly copies = TaskCopies.create();
  readonly stalls = RunStalls.create();
  /** The claim in force; undefined before the first. */
  claim: CellOwnerClaim | undefined;
  /** Offset of the next record to apply. */
  nextOffset = 0;
  /** Latest Unix time in ms that an owner has recorded. Wall clocks may jump: nothing is decided by it. */
  logTimeMs = 0;
  /**
   * Time of the cell in ms: the sum of the times that the owners have counted on their monotonic clocks
   * while they owned the cell. It never advances faster than true time.
   */
  cellTimeMs = 0;
  /** Time of the cell at which the claim in force was applied. */
  termStartMs = 0;
  /** Jobs in `ended` without `retainedFromMs`, in the order of their ends. */
  private undatedJobs: EndedJob[] = [];
  /** Offset of the newest claim or renewal; 0 if none was applied since the state was created. */
  private lastTimeOffset = 0;

  private constructor(private readonly retentionMs: number) {
    this.cancelledIds = CancelledIds.create(retentionMs);
  }

  /**
   * Applies the record at `nextOffset`. Returns false when the record has no effect. Throws for a job beyond the
   * limits, which has no effect either.
   */
  apply(record: CellRecord): boolean {
    const offset = this.nextOffset;
    this.nextOffset += 1;
    switch (record.kind) {
      case 'claim':
        this.advanceLogTime(record.wallMs);
        if (record.token <= (this.claim?.token ?? 0) || record.token > offset + MAX_LEAD)
          return false;
        this.termStartMs = this.cellTimeMs;
        this.lastTimeOffset = offset;
        this.leaseEnds.applyClaim(record);
        this.copies.applyClaim(record, this.cellTimeMs);
        this.claim = {
          owner: record.owner,
          address: record.address,
          token: record.token,
          released: false,
        };
        return true;
      case 'renew':
        this.advanceLogTime(record.wallMs);
        this.applyRenewal(record, offset);
        return true;
      case 'release':
        if (this.claim !== undefined) this.claim = { ...this.claim, released: true };
        return true;
      case 'job':
        return this.acceptJob(record.job, offset);
      case 'cancel':
        return this.cancelJob(record.id, offset);
      case 'start':
        if (record.run > offset + MAX_LEAD) return false;
        return this.placeTask(record.task, record.run, record.worker);
      case 'life':
        return this.recordIncarnation(record.worker, record.born);
      case 'begun':
        return this.markBegun(this.jobs.get(record.job));
      case 'end':
        return record.copy === undefined
          ? this.endRun(record.task, record.run, record.how, record.saved)
          : this.endByCopy(record.task, record.run, record.copy, record.saved);
    }
  }

  /** Returns the state of a job as clients read it; undefined for an unknown job. */
  jobStateOf(id: string): CellJobState | undefined {
    const progress = this.jobs.get(id);
    if (progress !== undefined) return progress.begun ? CellJobState.running : CellJobState.queued;
    return this.ended.get(id)?.outcome;
  }

  /** Returns the progress of a task of a job that has not ended. */
  findTask(
    name: string,
  ): { progress: JobProgress; stepProgress: StepProgress; task: TaskProgress } | undefined {
    const ref = taskName.parse(name);
    if (ref === undefined) return undefined;
    const progress = this.jobs.get(ref.job);
    const stepProgress = progress?.occurrences[ref.occurrence]?.[ref.step];
    const task = stepProgress?.tasks[ref.index];
    if (progress === undefined || stepProgress === undefined || task === undefined)
      return undefined;
    return { progress, stepProgress, task };
  }

  /** Returns the step of a task of a job that has not ended. */
  findStep(name: string): CellStep | undefined {
    const ref = taskName.parse(name);
    return ref && this.jobs.get(ref.job)?.job.steps[ref.step];
  }

  /** Returns the run of the task that has not ended, with its worker; its job may have ended. */
  findPlacement(name: string): { run: number; worker: string } | undefined {
    const entry = this.findTask(name);
    if (entry !== undefined)
      return entry.task.phase === 'placed'
        ? { run: entry.task.run, worker: entry.task.worker }
        : undefined;
    return this.ended.get(taskName.jobOf(name))?.leftovers.get(name);
  }

  /**
   * Returns the number of pending jobs of the queue: accepted, not begun and without scheduled
   * times.
   */
  pendingOf(queue: string): number {
    return this.pendingCounts.get(queue) ?? 0;
  }

  /** Adds a job that has not ended: one that is accepted, or one from a snapshot. */
  addJob(progress: JobProgress): void {
    this.jobs.set(progress.job.id, progress);
    this.openJobBytes += computeJobBytes(progress.job);
    if (!progress.begun && progress.job.firstRunMs === 0) this.adjustPending(progress, 1);
  }

  /** Adds a job that has ended: one that ends now, or one from a snapshot, in the order of their ends. */
  addEndedJob(id: string, job: EndedJob): void {
    this.ended.set(id, job);
    if (job.retainedFromMs === undefined) this.undatedJobs.push(job);
  }

  private acceptJob(job: CellJob, offset: number): boolean {
    if (this.jobs.has(job.id) || this.ended.has(job.id)) return false;
    checkLimits(job);
    if (this.cancelledIds.remove(job.id)) {
      this.endCancelledJob(job.id);
      return false;
    }
    const occurrences = Array.from({ length: job.occurrences }, () => createOccurrence(job));
    this.addJob({ job, offset, occurrences, begun: false });
    return true;
  }

  /** Cancels a job, or a later one of this id when the log has none. A job that has ended stays as it is. */
  private cancelJob(id: string, offset: number): boolean {
    if (this.finishJob(id, 'cancelled')) return true;
    if (this.ended.has(id)) return false;
    this.cancelledIds.add(id, offset);
    return true;
  }

  /** Adds a job whose cancel precedes it in the log: its submitter finds it as cancelled. */
  private endCancelledJob(id: string): void {
    this.addEndedJob(id, {
      outcome: 'cancelled',
      endedMs: this.logTimeMs,
      endOffset: this.nextOffset - 1,
      retainedFromMs: undefined,
      leftovers: new Map(),
    });
  }

  /** Records that a run of the task is placed on the worker. */
  private placeTask(name: string, run: number, worker: string): boolean {
    const entry = this.findTask(name);
    if (entry === undefined) return false;
    const { stepProgress, task } = entry;
    if (task.phase !== 'waiting' || run <= task.run) return false;
    if (this.findStep(name)?.gang === true) gangCheckpoint.recordStart(stepProgress, run);
    const { running, failed } = this.copies;
    const copy = running.get(name);
    const isCopy = copy?.run === run && copy.worker === worker;
    task.phase = 'placed';
    task.run = run;
    task.worker = worker;
    task.born = isCopy ? copy.born : (this.incarnations.get(worker) ?? 0);
    stepProgress.placed += 1;
    // An owner that starts another run than the copy does not know the copy, and stops it as one without a record.
    running.delete(name);
    if (failed.get(name)?.run !== run) failed.delete(name);
    return true;
  }

  /** Records that a second run of the task is placed on another worker, beside the current one. */
  private placeCopy(name: string, run: number, worker: string): void {
    const entry = this.findTask(name);
    const size = this.findStep(name);
    const { running, failed } = this.copies;
    if (entry === undefined || size === undefined || running.has(name) || failed.has(name)) return;
    const { progress, task } = entry;
    const mayHaveCopy = size.speculative && !size.gang && !size.longRunning;
    if (!mayHaveCopy || task.phase !== 'placed' || task.worker === worker) return;
    if (run <= task.run || run <= (task.copyRun ?? 0)) return;
    task.copyRun = run;
    const born = this.incarnations.get(worker) ?? 0;
    const { team } = progress.job;
    running.set(name, { run, worker, born, ...(team === undefined ? {} : { team }), size });
  }

  /** Records the newest incarnation of a worker, for the runs that are placed on it later. */
  private recordIncarnation(worker: string, born: number): boolean {
    if (this.incarnations.get(worker) === born) return false;
    // Inserted again, so that the map begins with the incarnation that was recorded longest ago.
    this.incarnations.delete(worker);
    this.incarnations.set(worker, born);
    for (const oldest of this.incarnations.keys()) {
      if (this.incarnations.size <= MAX_INCARNATIONS) break;
      this.incarnations.delete(oldest);
    }
    return true;
  }

  /** Marks the job as begun, so that it no longer counts as pending. */
  private markBegun(progress: JobProgress | undefined): boolean {
    if (progress === undefined || progress.begun) return false;
    progress.begun = true;
    if (progress.job.firstRunMs === 0) this.adjustPending(progress, -1);
    return true;
  }

  /** Records the end of a run, which may end its task and its job. */
  private endRun(name: string, run: number, how: RunEnd, saved: string): boolean {
    const entry = this.findTask(name);
    if (this.copies.running.get(name)?.run === run) return this.endCopy(name, run, how);
    if (entry === undefined) {
      const leftovers = this.ended.get(taskName.jobOf(name))?.leftovers;
      return leftovers?.get(name)?.run === run && leftovers.delete(name);
    }
    const { progress, stepProgress, task } = entry;
    if (task.phase !== 'placed' || task.run !== run) return false;
    const definition = this.findStep(name);
    if (definition === undefined) return false;
    this.stalls.forget(name);
    if (how !== RunEnd.lost) this.markBegun(progress);
    if (this.copies.failed.get(name)?.run === run) this.copies.failed.delete(name);
    task.phase = 'waiting';
    stepProgress.placed -= 1;
    if (definition.gang) gangCheckpoint.recordEnd(stepProgress, run, saved);
    else if (saved !== '') task.checkpoint = saved;
    if (definition.longRunning) return true;
    if (how === RunEnd.done) this.markDone(stepProgress, task, definition.gang);
    else if (how === RunEnd.failed)
      this.markFailed(progress, stepProgress, task, definition.gang, run);
    this.finishIfDone(progress);
    return true;
  }

  /** Records the end of a second run, which leaves the current run and the failures of the task as they are. */
  private endCopy(name: string, run: number, how: RunEnd): boolean {
    const { running, failed } = this.copies;
    const worker = running.get(name)?.worker ?? '';
    running.delete(name);
    const phase = this.findTask(name)?.task.phase;
    if (how === RunEnd.failed && phase !== undefined && phase !== 'done')
      failed.set(name, { run, worker });
    return true;
  }

  /** Records that the copy of a task is done. The current run becomes the second one, until it ends. */
  private endByCopy(name: string, run: number, copyRun: number, saved: string): boolean {
    const { running } = this.copies;
    const isKnown = running.get(name)?.run === copyRun;
    if (isKnown) running.delete(name);
    const entry = this.findTask(name);
    const size = this.findStep(name);
    if (entry?.task.phase !== 'placed' || entry.task.run !== run || size === undefined)
      return isKnown;
    const { progress, stepProgress, task } = entry;
    const { worker, born } = task;
    const { team } = progress.job;
    running.set(name, { run, worker, born, ...(team === undefined ? {} : { team }), size });
    this.markBegun(progress);
    stepProgress.placed -= 1;
    if (saved !== '') task.checkpoint = saved;
    this.markDone(stepProgress, task, false);
    this.finishIfDone(progress);
    return true;
  }

  private finishIfDone(progress: JobProgress): void {
    const isDone = progress.occurrences.every((steps) =>
      steps.every((step) => step.done === step.tasks.length),
    );
    if (isDone) this.finishJob(progress.job.id, 'completed');
  }

  /** Marks the task as done, or all tasks of a gang when one of its members is done. */
  private markDone(stepProgress: StepProgress, task: TaskProgress, isGang: boolean): void {
    if (!isGang) {
      task.phase = 'done';
      stepProgress.done += 1;
      return;
    }
    for (const member of stepProgress.tasks) member.phase = 'done';
    stepProgress.done = stepProgress.tasks.length;
    stepProgress.placed = 0;
  }

  /**
   * Counts a failed run of the task, once for all members of a gang, and ends the job as failed
   * after the last attempt.
   */
  private markFailed(
    progress: JobProgress,
    stepProgress: StepProgress,
    task: TaskProgress,
    isGang: boolean,
    run: number,
  ): void {
    if (isGang && stepProgress.lastFailedRun === run) return;
    stepProgress.lastFailedRun = run;
    task.failures += 1;
    const otherWorkers = (task.failedWorkers ?? []).filter((worker) => worker !== task.worker);
    task.failedWorkers = [...otherWorkers, task.worker].slice(-MAX_FAILED_WORKERS);
    stepProgress.gangFailures += 1;
    const failures = isGang ? stepProgress.gangFailures : task.failures;
    if (failures >= progress.job.queue.maxAttempts) this.finishJob(progress.job.id, 'failed');
  }

  /** Moves a job to the ended jobs, and keeps those of its runs that have not ended as leftovers. */
  private finishJob(id: string, outcome: EndedJob['outcome']): boolean {
    const progress = this.jobs.get(id);
    if (progress === undefined) return false;
    const leftovers = new Map<string, LeftoverRun>();
    progress.occurrences.forEach((steps, occurrence) => {
      steps.forEach((stepProgress, step) => {
        const definition = progress.job.steps[step];
        if (definition === undefined || stepProgress.placed === 0) return;
        stepProgress.tasks.forEach((task, index) => {
          if (task.phase !== 'placed') return;
          const name = taskName.format({ job: id, occurrence, step, index });
          leftovers.set(name, {
            run: task.run,
            worker: task.worker,
            born: task.born,
            ...(progress.job.team === undefined ? {} : { team: progress.job.team }),
            size: definition,
          });
        });
      });
    });
    if (!progress.begun && progress.job.firstRunMs === 0) this.adjustPending(progress, -1);
    this.copies.forgetFailedOf(id);
    this.stalls.forgetJob(id);
    this.jobs.delete(id);
    this.openJobBytes -= computeJobBytes(progress.job);
    this.addEndedJob(id, {
      outcome,
      endedMs: this.logTimeMs,
      endOffset: this.nextOffset - 1,
      retainedFromMs: undefined,
      leftovers,
    });
    return true;
  }

  private adjustPending(progress: JobProgress, change: number): void {
    const queue = progress.job.queue.name;
    this.pendingCounts.set(queue, (this.pendingCounts.get(queue) ?? 0) + change);
  }

  private advanceLogTime(wallMs: number): void {
    this.logTimeMs = Math.max(this.logTimeMs, wallMs);
  }

  /** Advances the time of the cell by the time that the owner has counted. */
  private applyRenewal(record: Extract<CellRecord, { kind: 'renew' }>, offset: number): void {
    const { token, termMs, asOfOffset } = record;
    // An owner of an earlier version sends a renewal after its previous one was acknowledged.
    if (termMs === undefined || asOfOffset === undefined)
      this.advanceCellTime(this.cellTimeMs + EARLIER_VERSION_RENEWAL_MS, this.lastTimeOffset);
    else if (token === this.claim?.token) {
      this.advanceCellTime(this.termStartMs + termMs, asOfOffset);
      this.leaseEnds.applyRenewal(record);
      this.stalls.applyRenewal(record);
      for (const [task, run, worker] of record.copies ?? [])
        if (run <= offset + MAX_LEAD) this.placeCopy(task, run, worker);
    }
    this.lastTimeOffset = offset;
  }

  /**
   * Advances the time of the cell to `timeMs`, at which all records before `asOfOffset` were in the log, and
   * removes the ended jobs whose retention time has passed.
   */
  private advanceCellTime(timeMs: number, asOfOffset: number): void {
    this.cellTimeMs = Math.max(this.cellTimeMs, timeMs);
    // The renewal before the end would shorten the retention time, by seconds if renewals are late.
    let datedCount = 0;
    for (const job of this.undatedJobs) {
      if (job.endOffset >= asOfOffset) break;
      job.retainedFromMs = this.cellTimeMs;
      datedCount += 1;
    }
    this.undatedJobs.splice(0, datedCount);
    this.cancelledIds.expire(this.cellTimeMs, asOfOffset);
    // The map holds the jobs in the order of their ends, so that the loop begins with the oldest.
    for (const [id, { retainedFromMs }] of this.ended) {
      // Equal times do not show that the whole time has passed, because recorded times are rounded down.
      if (retainedFromMs === undefined || this.cellTimeMs <= retainedFromMs + this.retentionMs)
        break;
      this.ended.delete(id);
    }
  }
}

/** Throws for a job that no process accepts, since it could exhaust the memory of every process. */
function checkLimits({ id, steps, occurrences }: CellJob): void {
  const tasks = steps.reduce((sum, { count }) => sum + count, 0) * occurrences;
  if (
    steps.length > jobLimits.steps ||
    occurrences > jobLimits.occurrences ||
    tasks > jobLimits.tasks
  )
    throw new Error(
      `job ${id} exceeds the limits: ${steps.length} steps, ${occurrences} occurrences, ${tasks} tasks`,
    );
}
