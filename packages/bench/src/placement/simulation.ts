import type { Clock } from '@acaciahoist/clock';
import { Placement } from '@acaciahoist/placement';
import type { Decision } from '@acaciahoist/placement/decision';
import type { JobEnd } from '@acaciahoist/placement/job-end';
import type { Policy } from '@acaciahoist/placement/policy';
import type { Arrival } from './arrival.js';
import { FairnessLog } from './fairness-log.js';
import { FakeCell } from './fake-cell.js';
import type { FakeTask } from './fake-task.js';
import { UnreliableReports } from './unreliable-reports.js';
import type { PolicyResult } from './policy-result.js';
import { Random } from '@acaciahoist/random';
import { TimedCalls } from './timed-calls.js';
import { ViolationLog } from './violation-log.js';
import { WaitLog } from './wait-log.js';
import type { Workload } from './workload.js';

const TICK_MS = 100;
/** The core decides again in the same tick while it reports that it has more, up to this limit. */
const MAX_DECISIONS_PER_TICK = 20;
/** Delays from the failure of a worker until the scheduler suspends it, and until it removes it. */
const SUSPEND_AFTER_MS = 1_000;
const REMOVE_AFTER_MS = 4_000;
const SAMPLE_MS = 1_000;

/** An admitted job without an outcome. */
interface ActiveJob {
  arrival: Arrival;
  /** Logical ids of the tasks that started at least once. */
  startedTasks: Set<string>;
  completedTasks: number;
  /** Time of the submission, or the start time of scheduled work. */
  readyAtMs: number;
}

/** Runs one policy on a workload with a fake clock and fake workers. */
export class Simulation {
  static create(workload: Workload, policy: Policy, clock: Clock, startWallMs: number): Simulation {
    const { teams, seed } = workload;
    const placement = Placement.create({ teams, policy, seed, limits: { armBeforeMs: 10_000 } });
    return new Simulation(workload, TimedCalls.create(placement, clock), startWallMs);
  }

  /** Longest real remaining run time of a batch task at the submission of the last gang. */
  longestRemainingBatchMs = 0;
  private nowMs = 0;
  private readonly random: Random;
  private readonly cell: FakeCell;
  private readonly reports: UnreliableReports;
  private readonly violations: ViolationLog;
  private readonly waits: WaitLog;
  private readonly fairness: FairnessLog;
  private readonly activeJobs = new Map<string, ActiveJob>();
  private readonly lastReportSequences = new Map<string, number>();
  /** Indexes of the next entries in the lists of the workload. */
  private nextArrival = 0;
  private nextFailure = 0;
  private nextCancellation = 0;
  /** Tasks that started in the previous tick; their start has not been reported to the core. */
  private newTaskIds: string[] = [];
  private readonly toSuspend: { atMs: number; worker: string }[] = [];
  private readonly toRemove: { atMs: number; worker: string }[] = [];
  private readonly decisionCounts = { checkpoint: 0, throttle: 0, stop: 0 };
  private startedGangCount = 0;
  private startCount = 0;
  private completedTaskCount = 0;
  private readonly packingSamples: number[] = [];
  private readonly utilizationSamples: number[] = [];
  private maxRunningTasks = 0;

  private constructor(
    private readonly workload: Workload,
    private readonly core: TimedCalls,
    private readonly startWallMs: number,
  ) {
    this.random = Random.create(workload.seed ^ 0xd1ce);
    this.cell = FakeCell.create(workload);
    this.reports = UnreliableReports.create(this.cell, Random.create(workload.seed ^ 0xca11));
    this.violations = ViolationLog.create(workload, this.cell);
    this.waits = WaitLog.create(workload.warmUpMs);
    this.fairness = FairnessLog.create(workload);
    for (const worker of workload.workers) {
      core.call((placement) => {
        placement.addWorker(worker, 0);
      });
    }
  }

  run(): PolicyResult {
    while (this.nowMs < this.workload.durationMs) {
      this.nowMs += TICK_MS;
      if (this.nowMs === this.workload.warmUpMs) this.core.reset();
      this.applyDisturbances();
      this.submitArrivals();
      this.advanceTasks();
      this.decide();
      if (this.nowMs >= this.workload.warmUpMs && this.nowMs % SAMPLE_MS === 0) this.takeSample();
    }
    return this.summarize();
  }

  private get wallMs(): number {
    return this.startWallMs + this.nowMs;
  }

  private submitArrivals(): void {
    for (;;) {
      const arrival = this.workload.arrivals[this.nextArrival];
      if (arrival === undefined || arrival.atMs > this.nowMs) return;
      this.nextArrival += 1;
      if (arrival.family.kind === 'gang')
        this.longestRemainingBatchMs = this.computeLongestRemainingBatchMs();
      const { jobId, spec } = arrival;
      const submitted = this.core.call((placement) =>
        placement.submit(jobId, spec, this.nowMs, this.wallMs),
      );
      if (submitted.isErr) continue;
      const readyAtMs = Math.max(this.nowMs, (spec.startAtMs ?? 0) - this.startWallMs);
      this.activeJobs.set(jobId, {
        arrival,
        startedTasks: new Set(),
        completedTasks: 0,
        readyAtMs,
      });
    }
  }

  /** Applies worker failures, their later detection by the scheduler, and bursts of cancellations. */
  private applyDisturbances(): void {
    const findDue = (list: readonly { atMs: number; worker: string }[], from: number) =>
      (list[from]?.atMs ?? Infinity) <= this.nowMs ? list[from] : undefined;
    const failure = findDue(this.workload.workerFailures, this.nextFailure);
    if (failure !== undefined) {
      this.nextFailure += 1;
      this.cell.failWorker(failure.worker);
      this.toSuspend.push({ atMs: this.nowMs + SUSPEND_AFTER_MS, worker: failure.worker });
      this.toRemove.push({ atMs: this.nowMs + REMOVE_AFTER_MS, worker: failure.worker });
    }
    const suspend = findDue(this.toSuspend, 0);
    if (suspend !== undefined) {
      this.toSuspend.shift();
      this.core.call((placement) => {
        placement.setWorkerState(suspend.worker, 'suspended');
      });
    }
    const remove = findDue(this.toRemove, 0);
    if (remove !== undefined) this.removeWorker(remove.worker);
    const burst = this.workload.cancellations[this.nextCancellation];
    if (burst !== undefined && burst.atMs <= this.nowMs) {
      this.nextCancellation += 1;
      this.cancelJobs(burst.jobs);
    }
  }

  private removeWorker(address: string): void {
    this.toRemove.shift();
    this.violations.recordWorkerRemoval(address);
    const ends = this.core.call((placement) => placement.removeWorker(address, this.nowMs));
    for (const end of ends) this.endJob(end);
  }

  private cancelJobs(count: number): void {
    const jobs = [...this.activeJobs.values()].filter(
      (job) => job.arrival.family.kind !== 'service',
    );
    for (let i = 0; i < Math.min(count, jobs.length); i += 1) {
      const job = jobs[this.random.integer(0, jobs.length - 1)];
      if (job === undefined) continue;
      const { jobId } = job.arrival;
      const cancelled = this.core.call((placement) => placement.cancel(jobId, this.nowMs));
      if (cancelled.isErr) this.violations.add(`cancel of ${jobId}: ${cancelled.error.message}`);
      else if (cancelled.value !== null) this.endJob(cancelled.value);
      this.violations.recordCancellation(jobId, this.nowMs);
    }
  }

  private advanceTasks(): void {
    for (const taskId of this.newTaskIds) {
      this.core.call((placement) => {
        placement.taskStarted(taskId);
      });
    }
    this.newTaskIds = [];
    for (const { task, outcome } of this.cell.advance(this.nowMs, TICK_MS)) {
      if (outcome === 'checkpointed') this.violations.checkCheckpoint(task);
      this.violations.recordTaskEnd(task);
      const job = this.activeJobs.get(task.arrival.jobId);
      if (outcome === 'completed') {
        this.completedTaskCount += 1;
        if (job !== undefined) job.completedTasks += 1;
      }
      const end = this.core.call((placement) =>
        placement.taskEnded(
          task.taskId,
          outcome,
          this.nowMs,
          this.wallMs,
          Math.floor(task.progressMs),
        ),
      );
      if (end !== null) this.endJob(end);
    }
    for (const { address, report } of this.reports.takeDue(this.nowMs, TICK_MS)) {
      const isNew = report.sequence > (this.lastReportSequences.get(address) ?? 0);
      if (isNew) this.lastReportSequences.set(address, report.sequence);
      for (const entry of isNew ? report.tasks : []) {
        const task = this.cell.tasks.get(entry.taskId);
        if (task !== undefined) task.reportedUsage = entry.usage;
      }
      const ends = this.core.call((placement) =>
        placement.usageReported(address, report, this.nowMs, this.wallMs),
      );
      for (const end of ends) this.endJob(end);
    }
  }

  private decide(): void {
    for (let i = 0; i < MAX_DECISIONS_PER_TICK; i += 1) {
      const decisions = this.core.decide(this.nowMs, this.wallMs);
      this.violations.checkGangs(decisions, (jobId) => {
        const job = this.activeJobs.get(jobId);
        return job?.arrival.family.kind === 'gang' ? job.completedTasks : null;
      });
      for (const decision of decisions) this.applyDecision(decision);
      if (!this.core.call((placement) => placement.hasMore())) return;
    }
  }

  private applyDecision(decision: Decision): void {
    if (decision.type === 'refuse') {
      this.endJob({ jobId: decision.jobId, outcome: 'refused', reason: decision.reason });
      return;
    }
    if (decision.type === 'arm') return;
    if (decision.type !== 'start') {
      this.decisionCounts[decision.type] += 1;
      this.cell.applyDecision(decision, this.nowMs);
      return;
    }
    const job = this.activeJobs.get(decision.jobId);
    if (job === undefined) {
      this.violations.add(`start of unknown job ${decision.jobId}`);
      return;
    }
    const { arrival } = job;
    this.violations.checkStart(decision, arrival.family.declared);
    this.cell.start(decision, arrival);
    this.newTaskIds.push(decision.taskId);
    this.startCount += 1;
    const logicalTaskId = decision.taskId.slice(0, decision.taskId.lastIndexOf('.'));
    if (job.startedTasks.has(logicalTaskId)) return;
    const isGang = arrival.family.kind === 'gang';
    if (isGang && job.startedTasks.size === 0) this.startedGangCount += 1;
    if (!isGang || job.startedTasks.size === 0) this.waits.add(arrival, job.readyAtMs, this.nowMs);
    job.startedTasks.add(logicalTaskId);
  }

  private endJob(end: JobEnd): void {
    this.violations.recordJobEnd(end.jobId, end.outcome);
    this.activeJobs.delete(end.jobId);
  }

  private *listWaitingJobs() {
    for (const { arrival, startedTasks, readyAtMs } of this.activeJobs.values()) {
      const { family } = arrival;
      if (family.kind !== 'batch' || family.broken || readyAtMs > this.nowMs) continue;
      const factor = Math.max(1, family.sizeFactor);
      const waiting = family.tasks - startedTasks.size;
      if (waiting === 0) continue;
      yield {
        team: family.team,
        millicores: waiting * family.declared.millicores * factor,
        memoryMib: waiting * family.declared.memoryMib * factor,
        sinceMs: readyAtMs,
      };
    }
  }

  private computeLongestRemainingBatchMs(): number {
    let longest = 0;
    for (const { arrival, workMs, progressMs } of this.cell.tasks.values()) {
      if (arrival.family.kind === 'batch') longest = Math.max(longest, workMs - progressMs);
    }
    return longest;
  }

  private takeSample(): void {
    const waiting = [...this.listWaitingJobs()];
    const { workers } = this.workload;
    let cores = 0;
    let memory = 0;
    for (const { usage, arrival } of this.cell.tasks.values()) {
      const { declared } = arrival.family;
      cores += Math.max(usage.millicores, declared.millicores) / (32_000 * workers.length);
      memory += Math.max(usage.memoryMib, declared.memoryMib) / (65_536 * workers.length);
    }
    const use = (cores + memory) / 2;
    this.utilizationSamples.push(use);
    if (waiting.some(({ sinceMs }) => this.nowMs - sinceMs >= SAMPLE_MS))
      this.packingSamples.push(use);
    this.maxRunningTasks = Math.max(this.maxRunningTasks, this.cell.tasks.size);
    this.fairness.sample(this.cell.tasks.values() as Iterable<FakeTask>, waiting, this.nowMs);
  }

  private summarize(): PolicyResult {
    let tasksWaitingAtEnd = 0;
    for (const { arrival, startedTasks, readyAtMs } of this.activeJobs.values()) {
      const { family } = arrival;
      if (readyAtMs > this.nowMs) continue;
      const missing = family.tasks - startedTasks.size;
      tasksWaitingAtEnd += missing;
      // Work that never started counts with the time that it has waited so far.
      for (let i = 0; i < (family.kind === 'gang' ? Math.min(1, missing) : missing); i += 1) {
        this.waits.add(arrival, readyAtMs, this.nowMs);
      }
    }
    this.violations.checkCancellations(this.nowMs);
    const mean = (values: readonly number[]) =>
      values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
    const gangs = this.workload.arrivals.filter(({ family }) => family.kind === 'gang');
    return {
      packing: mean(this.packingSamples),
      utilization: mean(this.utilizationSamples),
      ...this.waits.summary(),
      ...this.fairness.summary(),
      gangsStarted: this.startedGangCount,
      gangsSubmitted: gangs.length,
      tasksStarted: this.startCount,
      tasksCompleted: this.completedTaskCount,
      tasksWaitingAtEnd,
      checkpoints: this.decisionCounts.checkpoint,
      throttles: this.decisionCounts.throttle,
      stops: this.decisionCounts.stop,
      violations: this.violations.count,
      violationExamples: this.violations.examples,
      ...this.core.summary(),
      runningTasks: this.maxRunningTasks,
    };
  }
}
