import Result from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import type { Failure } from '@acaciahoist/errors';
import { answers } from '@acaciahoist/errors/answers';
import { Execution } from '@acaciahoist/errors/execution';
import type { Decision } from '@acaciahoist/placement/decision';
import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import type { Ledger } from './ledger.js';
import type { TaskTable } from './task-table.js';
import type { WorkerFleet } from './worker-fleet.js';
import { workerLease } from './worker-lease.js';

type StartDecision = Extract<Decision, { type: 'start' }>;

/** Time between two fence calls for a start whose result is unknown. */
const FENCE_RETRY_MS = 1_000;
const NO_RESOURCES = { millicores: 0, memoryMib: 0, accelerators: {} };

interface Options {
  clock: Clock;
  ledger: Ledger;
  fleet: WorkerFleet;
  tasks: TaskTable;
  taskLeaseMs: number;
  startDeadlineMs: number;
  /** Delay before the start of an armed task that was not sent is sent again. */
  retryDelayMs: number;
  isStopped: () => boolean;
  /**
   * True when this owner has ended the task or stops or has ended its job, even if the journal does not
   * contain that yet.
   */
  hasEnded: (taskId: string, jobId: string) => boolean;
  /** Called when the task certainly did not start. */
  onRefused: (taskId: string) => void;
  /** Called when the worker has the task. */
  onStarted: (taskId: string) => void;
  /** Called when the task may have run in an earlier incarnation of the worker. */
  onLapsed: (taskId: string) => void;
  log: (event: string, fields: Readonly<Record<string, string | number>>) => void;
}

/**
 * Journals the assignments of tasks, then sends their starts and settles the results. An armed task was
 * journalled with its worker before its start time, so that its start needs no further record.
 */
export class TaskStarter {
  static create(options: Options): TaskStarter {
    return new TaskStarter(options);
  }

  private constructor(private readonly options: Options) {}

  /** Journals the assignments and sends the starts; no start is sent before its record is durable. */
  async startTasks(decisions: readonly StartDecision[]): Promise<void> {
    const { ledger } = this.options;
    const starts = decisions.filter((start) => !this.isRunning(start.taskId));
    // Armed tasks that a predecessor started; a report of their worker has shown that they run.
    for (const { taskId } of decisions) if (this.isRunning(taskId)) this.options.onStarted(taskId);
    const unrecordedStarts = starts.filter((start) => !this.isArmed(start.taskId));
    const entries = unrecordedStarts.map((start) => this.createAssignment(start));
    const committed = entries.length === 0 ? Result.ok(undefined) : await ledger.commit(entries);
    if (this.options.isStopped()) return;
    if (committed.isErr || ledger.authority() !== 'leased') {
      for (const start of starts) this.settleUnsent(start);
      return;
    }
    const startsByWorker = new Map<string, StartDecision[]>();
    for (const start of starts) {
      startsByWorker.set(start.worker, [...(startsByWorker.get(start.worker) ?? []), start]);
    }
    for (const [worker, workerStarts] of startsByWorker) void this.sendStarts(worker, workerStarts);
  }

  /**
   * Starts armed tasks whose start time has come, without a further record, while the authority is
   * `holding`.
   */
  startDueArmedTasks(): void {
    const { ledger, clock, tasks, hasEnded } = this.options;
    const state = ledger.state();
    for (const { taskId, jobId, worker, startAtMs } of state.armed.values()) {
      // The record of an armed task may take effect after the owner gave the task up, and the record of its end
      // follows only with the lease.
      if (hasEnded(taskId, jobId)) continue;
      const job = state.jobs.get(jobId);
      const placedTask = tasks.find(taskId);
      const startableUntilMs = placedTask?.startableUntilMs ?? Infinity;
      const isSent = startableUntilMs !== Infinity && startableUntilMs > clock.monotonicMs();
      const isInProgress = placedTask?.state === 'running' || isSent;
      const mayStart = job?.cancelAtMs === null && !isInProgress;
      if (!mayStart || (startAtMs ?? 0) > clock.wallMs()) continue;
      const group = job.tasks.get(taskId)?.group ?? 0;
      const resources = job.spec.groups[group]?.resources ?? NO_RESOURCES;
      const start = { type: 'start', taskId, jobId, worker, group, resources } as const;
      void this.sendStarts(worker, [
        { ...start, resume: false, reason: 'the start time of the armed task has come' },
      ]);
    }
  }

  private isRunning(taskId: string): boolean {
    return this.options.tasks.find(taskId)?.state === 'running';
  }

  private isArmed(taskId: string): boolean {
    return this.options.ledger.state().armed.has(taskId);
  }

  private findIncarnation(worker: string): string {
    return this.options.fleet.find(worker)?.incarnation ?? '';
  }

  private createAssignment({ jobId, taskId, group, worker }: StartDecision): JournalEntry {
    const workerIncarnation = this.findIncarnation(worker);
    const atMs = this.options.clock.wallMs();
    return { type: 'task-assigned', jobId, taskId, group, worker, workerIncarnation, atMs };
  }

  /**
   * True when the start may have been sent to an earlier incarnation of its worker. The current one does not know
   * the task and would run it again.
   */
  private hasLapsed(taskId: string, worker: string): boolean {
    const { fleet, tasks } = this.options;
    const sentTo = tasks.find(taskId)?.workerIncarnation ?? '';
    const isCurrentKnown = fleet.find(worker)?.isReady === true;
    return isCurrentKnown && sentTo !== '' && sentTo !== this.findIncarnation(worker);
  }

  private async sendStarts(worker: string, decided: readonly StartDecision[]): Promise<void> {
    const { clock, tasks, fleet, taskLeaseMs, startDeadlineMs, ledger, onLapsed } = this.options;
    const lapsed = decided.filter(({ taskId }) => this.hasLapsed(taskId, worker));
    for (const { taskId } of lapsed) onLapsed(taskId);
    const starts = decided.filter((start) => !lapsed.includes(start));
    if (starts.length === 0) return;
    const startableUntilMs = clock.monotonicMs() + startDeadlineMs;
    const firstSends = new Set<string>();
    for (const { taskId, jobId } of starts) {
      const sentTo = tasks.find(taskId)?.workerIncarnation ?? null;
      if (sentTo === null) firstSends.add(taskId);
      const workerIncarnation = sentTo ?? this.findIncarnation(worker);
      tasks.add({ taskId, jobId, worker, workerIncarnation, state: 'starting', startableUntilMs });
    }
    const session = fleet.find(worker);
    const results = await session?.sendStarts(
      starts.map((start) => ({
        taskId: start.taskId,
        jobId: start.jobId,
        resources: start.resources,
        leaseMs: taskLeaseMs,
        deadlineMs: startDeadlineMs,
        runMs: ledger.state().jobs.get(start.jobId)?.spec.runMs ?? null,
        resume: start.resume,
      })),
    );
    if (this.options.isStopped()) return;
    if (results === undefined || (results.isErr && certainlyDidNotRun(results.error))) {
      for (const start of starts) {
        const task = tasks.find(start.taskId);
        if (task !== undefined && firstSends.has(start.taskId)) task.workerIncarnation = null;
        // The start is still to be sent, so the reply to a fence call must not settle it.
        if (task !== undefined && this.isArmed(start.taskId)) task.startableUntilMs = Infinity;
        this.settleUnsent(start);
      }
      return;
    }
    if (results.isErr) {
      const taskIds = starts.map(({ taskId }) => taskId);
      this.settleUnknown(worker, taskIds, startDeadlineMs * workerLease.driftFactor);
      return;
    }
    for (const { taskId, result, reason } of results.value) {
      if (result === 'refused') this.settleRefused(taskId, worker, reason);
      else this.options.onStarted(taskId);
    }
  }

  /**
   * Settles a start that was not sent or was certainly not executed. A predecessor may have started an armed
   * task, so the start of an armed task is sent again until the worker replies or its leases expire.
   */
  private settleUnsent(start: StartDecision): void {
    const { clock, ledger, tasks, retryDelayMs, hasEnded } = this.options;
    const { taskId, jobId, worker } = start;
    // A report that arrived in the meantime has shown that a predecessor started the task.
    if (this.isRunning(taskId)) {
      this.options.onStarted(taskId);
      return;
    }
    if (!this.isArmed(taskId)) {
      this.options.onRefused(taskId);
      return;
    }
    clock.after(retryDelayMs, () => {
      const isUnsettled =
        tasks.find(taskId)?.state !== 'running' && this.isArmed(taskId) && !hasEnded(taskId, jobId);
      const isOwner = !this.options.isStopped() && ledger.authority() === 'leased';
      if (isUnsettled && isOwner) void this.sendStarts(worker, [start]);
    });
  }

  /**
   * Settles starts whose result is unknown by a fence call, sent once the worker refuses the starts as too late.
   * The call may be lost as well, so it is repeated until no start is unsettled.
   */
  private settleUnknown(worker: string, taskIds: readonly string[], delayMs: number): void {
    const { clock, fleet, tasks, isStopped } = this.options;
    clock.after(delayMs, () => {
      const unsettledTaskIds = taskIds.filter((taskId) => tasks.find(taskId)?.state === 'starting');
      if (isStopped() || unsettledTaskIds.length === 0) return;
      void fleet.find(worker)?.fence();
      this.settleUnknown(worker, unsettledTaskIds, FENCE_RETRY_MS);
    });
  }

  private settleRefused(taskId: string, worker: string, reason: string): void {
    const { ledger } = this.options;
    this.options.log('start-refused', { task: taskId, worker, reason });
    // Without the lease the task cannot be placed elsewhere; the start of an armed task is sent again.
    if (ledger.authority() !== 'leased') return;
    const jobId = ledger.state().taskJobs.get(taskId) ?? '';
    const assignedIncarnation = ledger
      .state()
      .jobs.get(jobId)
      ?.tasks.get(taskId)?.workerIncarnation;
    const hasRestarted =
      assignedIncarnation !== undefined && assignedIncarnation !== this.findIncarnation(worker);
    if (this.isArmed(taskId) && hasRestarted) this.options.onLapsed(taskId);
    else this.options.onRefused(taskId);
  }
}

function certainlyDidNotRun(failure: Failure): boolean {
  return answers[failure.kind].execution === Execution.notRun || failure.details?.sent === false;
}
