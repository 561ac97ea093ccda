import type { Clock } from '@acaciahoist/clock';
import { Placement } from '@acaciahoist/placement';
import type { Decision } from '@acaciahoist/placement/decision';
import type { JobEnd } from '@acaciahoist/placement/job-end';
import type { Policy } from '@acaciahoist/placement/policy';
import type { Arrival } from './arrival.js';
import { FairnessLog } from './fairness-log.js';
import { FakeCell } from './fake-cell.js';
import type { FakeTask } from './fake-task.js';
import { LateReports } from './late-reports.js';
import type { PolicyResult } from './policy-result.js';
import { Random } from '@acaciahoist/random';
import { TimedCalls } from './timed-calls.js';
import { ViolationLog } from './violation-log.js';
import { WaitLog } from './wait-log.js';
import type { Workload } from './workload.js';

const TICK_MS = 100;
/** Decisions in one tick while the core reports that it has more. */
const DECISIONS_PER_TICK = 20;
const SUSPEND_AFTER_MS = 1_000;
const REMOVE_AFTER_MS = 4_000;
const SAMPLE_MS = 1_000;

interface LiveJob {
  arrival: Arrival;
  /** Places that started at least once, and tasks that completed. */
  started: Set<string>;
  completed: number;
  readyMs: number;
}

/** Runs one policy on a workload with a fake clock and fake workers. */
export class Simulation {
  static create(workload: Workload, policy: Policy, clock: Clock, startWallMs: number): Simulation {
    const { teams, seed } = workload;
    const placement = Placement.create({ teams, policy, seed, limits: { armBeforeMs: 10_000 } });
    return new Simulation(workload, TimedCalls.create(placement, clock), startWallMs);
  }

  /** Longest real remaining run time of a batch task when the last gang was submitted, ms. */
  drainMs = 0;
  private nowMs = 0;
  private readonly random: Random;
  private readonly cell: FakeCell;
  private readonly reports: LateReports;
  private readonly violations: ViolationLog;
  private readonly waits: WaitLog;
  private readonly fairness: FairnessLog;
  private readonly live = new Map<string, LiveJob>();
  private readonly sequences = new Map<string, number>();
  private arrived = 0;
  private deaths = 0;
  private cancelled = 0;
  private started: string[] = [];
  private readonly toSuspend: { atMs: number; worker: string }[] = [];
  private readonly toRemove: { atMs: number; worker: string }[] = [];
  private readonly counts = { checkpoint: 0, throttle: 0, stop: 0 };
  private gangs = 0;
  private startedTasks = 0;
  private completed = 0;
  private readonly packed: number[] = [];
  private readonly utilized: number[] = [];
  private runningTasks = 0;

  private constructor(
    private readonly workload: Workload,
    private readonly core: TimedCalls,
    private readonly startWallMs: number,
  ) {
    this.random = Random.create(workload.seed ^ 0xd1ce);
    this.cell = FakeCell.create(workload);
    this.reports = LateReports.create(this.cell, Random.create(workload.seed ^ 0xca11));
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
      this.disturb();
      this.arrive();
      this.progress();
      this.decide();
      if (this.nowMs >= this.workload.warmUpMs && this.nowMs % SAMPLE_MS === 0) this.sample();
    }
    return this.result();
  }

  private get wallMs(): number {
    return this.startWallMs + this.nowMs;
  }

  private arrive(): void {
    for (;;) {
      const arrival = this.workload.arrivals[this.arrived];
      if (arrival === undefined || arrival.atMs > this.nowMs) return;
      this.arrived += 1;
      if (arrival.family.kind === 'gang') this.drainMs = this.longestRemainingMs();
      const { jobId, spec } = arrival;
      const submitted = this.core.call((placement) =>
        placement.submit(jobId, spec, this.nowMs, this.wallMs),
      );
      if (submitted.isErr) continue;
      const readyMs = Math.max(this.nowMs, (spec.startAtMs ?? 0) - this.startWallMs);
      this.live.set(jobId, { arrival, started: new Set(), completed: 0, readyMs });
    }
  }

  /** Worker deaths with what the scheduler learns of them later, and bursts of cancellations. */
  private disturb(): void {
    const due = (list: readonly { atMs: number; worker: string }[], from: number) =>
      (list[from]?.atMs ?? Infinity) <= this.nowMs ? list[from] : undefined;
    const death = due(this.workload.deaths, this.deaths);
    if (death !== undefined) {
      this.deaths += 1;
      this.cell.kill(death.worker);
      this.toSuspend.push({ atMs: this.nowMs + SUSPEND_AFTER_MS, worker: death.worker });
      this.toRemove.push({ atMs: this.nowMs + REMOVE_AFTER_MS, worker: death.worker });
    }
    const suspend = due(this.toSuspend, 0);
    if (suspend !== undefined) {
      this.toSuspend.shift();
      this.core.call((placement) => {
        placement.setWorkerState(suspend.worker, 'suspended');
      });
    }
    const remove = due(this.toRemove, 0);
    if (remove !== undefined) this.removeWorker(remove.worker);
    const burst = this.workload.cancellations[this.cancelled];
    if (burst !== undefined && burst.atMs <= this.nowMs) {
      this.cancelled += 1;
      this.cancelJobs(burst.jobs);
    }
  }

  private removeWorker(address: string): void {
    this.toRemove.shift();
    this.violations.workerOver(address);
    const ends = this.core.call((placement) => placement.removeWorker(address, this.nowMs));
    for (const end of ends) this.endJob(end);
  }

  private cancelJobs(count: number): void {
    const jobs = [...this.live.values()].filter((job) => job.arrival.family.kind !== 'service');
    for (let i = 0; i < Math.min(count, jobs.length); i += 1) {
      const job = jobs[this.random.integer(0, jobs.length - 1)];
      if (job === undefined) continue;
      const { jobId } = job.arrival;
      const cancelled = this.core.call((placement) => placement.cancel(jobId, this.nowMs));
      if (cancelled.isErr) this.violations.add(`cancel of ${jobId}: ${cancelled.error.message}`);
      else if (cancelled.value !== null) this.endJob(cancelled.value);
      this.violations.cancel(jobId, this.nowMs);
    }
  }

  private progress(): void {
    for (const taskId of this.started) {
      this.core.call((placement) => {
        placement.taskStarted(taskId);
      });
    }
    this.started = [];
    for (const { task, outcome } of this.cell.run(this.nowMs, TICK_MS)) {
      if (outcome === 'checkpointed') this.violations.checkCheckpoint(task);
      this.violations.taskOver(task);
      const job = this.live.get(task.arrival.jobId);
      if (outcome === 'completed') {
        this.completed += 1;
        if (job !== undefined) job.completed += 1;
      }
      const end = this.core.call((placement) =>
        placement.taskEnded(task.taskId, outcome, this.nowMs, this.wallMs, Math.floor(task.doneMs)),
      );
      if (end !== null) this.endJob(end);
    }
    for (const { address, report } of this.reports.next(this.nowMs, TICK_MS)) {
      const isNew = report.sequence > (this.sequences.get(address) ?? 0);
      if (isNew) this.sequences.set(address, report.sequence);
      for (const entry of isNew ? report.tasks : []) {
        const task = this.cell.tasks.get(entry.taskId);
        if (task !== undefined) task.reported = entry.usage;
      }
      const ends = this.core.call((placement) =>
        placement.usageReported(address, report, this.nowMs, this.wallMs),
      );
      for (const end of ends) this.endJob(end);
    }
  }

  private decide(): void {
    for (let i = 0; i < DECISIONS_PER_TICK; i += 1) {
      const decisions = this.core.decide(this.nowMs, this.wallMs);
      this.violations.checkGangs(decisions, (jobId) => {
        const job = this.live.get(jobId);
        return job?.arrival.family.kind === 'gang' ? job.completed : null;
      });
      for (const decision of decisions) this.apply(decision);
      if (!this.core.call((placement) => placement.hasMore())) return;
    }
  }

  private apply(decision: Decision): void {
    if (decision.type === 'refuse') {
      this.endJob({ jobId: decision.jobId, outcome: 'refused', reason: decision.reason });
      return;
    }
    if (decision.type === 'arm') return;
    if (decision.type !== 'start') {
      this.counts[decision.type] += 1;
      this.cell.order(decision, this.nowMs);
      return;
    }
    const job = this.live.get(decision.jobId);
    if (job === undefined) {
      this.violations.add(`start of unknown job ${decision.jobId}`);
      return;
    }
    const { arrival } = job;
    this.violations.checkStart(decision, arrival.family.declared);
    this.cell.start(decision, arrival);
    this.started.push(decision.taskId);
    this.startedTasks += 1;
    const place = decision.taskId.slice(0, decision.taskId.lastIndexOf('.'));
    if (job.started.has(place)) return;
    const isGang = arrival.family.kind === 'gang';
    if (isGang && job.started.size === 0) this.gangs += 1;
    if (!isGang || job.started.size === 0) this.waits.add(arrival, job.readyMs, this.nowMs);
    job.started.add(place);
  }

  private endJob(end: JobEnd): void {
    this.violations.jobOver(end.jobId, end.outcome);
    this.live.delete(end.jobId);
  }

  private *waiting() {
    for (const { arrival, started, readyMs } of this.live.values()) {
      const { family } = arrival;
      if (family.kind !== 'batch' || family.broken || readyMs > this.nowMs) continue;
      const factor = Math.max(1, family.sizeFactor);
      const waiting = family.tasks - started.size;
      if (waiting === 0) continue;
      yield {
        team: family.team,
        millicores: waiting * family.declared.millicores * factor,
        memoryMib: waiting * family.declared.memoryMib * factor,
        sinceMs: readyMs,
      };
    }
  }

  private longestRemainingMs(): number {
    let longest = 0;
    for (const { arrival, workMs, doneMs } of this.cell.tasks.values()) {
      if (arrival.family.kind === 'batch') longest = Math.max(longest, workMs - doneMs);
    }
    return longest;
  }

  private sample(): void {
    const waiting = [...this.waiting()];
    const { workers } = this.workload;
    let cores = 0;
    let memory = 0;
    for (const { usage, arrival } of this.cell.tasks.values()) {
      const { declared } = arrival.family;
      cores += Math.max(usage.millicores, declared.millicores) / (32_000 * workers.length);
      memory += Math.max(usage.memoryMib, declared.memoryMib) / (65_536 * workers.length);
    }
    const use = (cores + memory) / 2;
    this.utilized.push(use);
    if (waiting.some(({ sinceMs }) => this.nowMs - sinceMs >= SAMPLE_MS)) this.packed.push(use);
    this.runningTasks = Math.max(this.runningTasks, this.cell.tasks.size);
    this.fairness.sample(this.cell.tasks.values() as Iterable<FakeTask>, waiting, this.nowMs);
  }

  private result(): PolicyResult {
    let tasksWaitingAtEnd = 0;
    for (const { arrival, started, readyMs } of this.live.values()) {
      const { family } = arrival;
      if (readyMs > this.nowMs) continue;
      const missing = family.tasks - started.size;
      tasksWaitingAtEnd += missing;
      // Work that never started counts with the time that it has waited so far.
      for (let i = 0; i < (family.kind === 'gang' ? Math.min(1, missing) : missing); i += 1) {
        this.waits.add(arrival, readyMs, this.nowMs);
      }
    }
    this.violations.checkCancellations(this.nowMs);
    const mean = (values: readonly number[]) =>
      values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
    const gangs = this.workload.arrivals.filter(({ family }) => family.kind === 'gang');
    return {
      packing: mean(this.packed),
      utilization: mean(this.utilized),
      ...this.waits.summary(),
      ...this.fairness.summary(),
      gangsStarted: this.gangs,
      gangsSubmitted: gangs.length,
      tasksStarted: this.startedTasks,
      tasksCompleted: this.completed,
      tasksWaitingAtEnd,
      checkpoints: this.counts.checkpoint,
      throttles: this.counts.throttle,
      stops: this.counts.stop,
      violations: this.violations.count,
      violationExamples: this.violations.examples,
      ...this.core.summary(),
      runningTasks: this.runningTasks,
    };
  }
}
