import type { Clock } from '@acaciahoist/clock';
import type { Resources } from '@acaciahoist/types/resources';
import type { TaskStart } from '@acaciahoist/types/task-start';
import type { WorkerReport } from '@acaciahoist/types/worker-report';
import type { CheckpointStore } from './checkpoint-store.js';
import type { History } from './history.js';
import { scaleResources } from './scale-resources.js';
import { drawSeededShare } from './draw-seeded-share.js';
import type { Settings } from './settings.js';
import type { Task } from './task.js';
import { computeTaskStateAt } from './compute-task-state-at.js';
import { TaskTable } from './task-table.js';

/** Time from the start to the failure of a task that fails by a fault. */
const FAILURE_DELAY_MS = 20;

/** Number of the latest usage reports that are kept to be sent again. */
const RECENT_REPORT_COUNT = 3;

/** Result of the start of one task. */
interface StartResult {
  taskId: string;
  result: 'started' | 'known' | 'refused';
  reason: string;
}

interface WorkerOptions {
  clock: Clock;
  history: History;
  checkpoints: CheckpointStore;
  seed: number;
  settings: Settings['workers'];
  /** Capacity of the worker. */
  resources: Resources;
  rack: string;
  /** Address of the worker, under which the history records its events. */
  source: () => string;
  incarnation: () => string;
}

/** A simulated worker. It runs tasks under leases for the process with the highest token. */
export class Worker {
  static create(options: WorkerOptions): Worker {
    return new Worker(options);
  }

  /** Fault: every task that starts fails after `FAILURE_DELAY_MS`. */
  failsTasks = false;
  /** Age of the state that usage reports show. */
  usageLagMs: number;
  /** Bounds of the actual size divided by the declared size, for tasks that start later. */
  sizeFactor: readonly [number, number];
  /** Bounds of the actual run time divided by the declared one, for tasks that start later. */
  runFactor: readonly [number, number];
  private readonly taskTable: TaskTable;
  private highestToken = -1;
  private sequence = 0;
  private sentReportCount = 0;
  private recentReports: WorkerReport[] = [];

  private constructor(private readonly options: WorkerOptions) {
    const { clock, history, source, settings, resources: capacity } = options;
    this.usageLagMs = settings.usageLagMs;
    this.sizeFactor = settings.sizeFactor;
    this.runFactor = settings.runFactor;
    this.taskTable = TaskTable.create({
      clock,
      history,
      capacity,
      keepEndedMs: settings.keepEndedMs,
      source,
      onEnded: (task) => {
        this.updateCheckpoint(task);
      },
    });
  }

  get resources(): Resources {
    return this.options.resources;
  }

  get rack(): string {
    return this.options.rack;
  }

  /** Records a token; false when the worker has received a higher one. */
  acceptToken(token: number): boolean {
    const { history, source } = this.options;
    if (token < this.highestToken) {
      history.add(source(), { type: 'stale-token', token, highest: this.highestToken });
      return false;
    }
    if (token > this.highestToken) history.add(source(), { type: 'fenced', token });
    this.highestToken = token;
    return true;
  }

  /**
   * Starts a task unless the worker already has its id or `sentAtMs` plus its deadline has passed. A
   * task that ended by a checkpoint may be started again to resume it.
   */
  start(token: number, start: TaskStart, sentAtMs: number): StartResult {
    const { taskId } = start;
    const existingTask = this.taskTable.get(taskId);
    const isResumable = start.resume && existingTask?.outcome === 'checkpointed';
    if (existingTask !== undefined && !isResumable) {
      const reason =
        existingTask.outcome === undefined ? 'running' : `ended ${existingTask.outcome}`;
      return { taskId, result: 'known', reason };
    }
    if (this.options.clock.monotonicMs() > sentAtMs + start.deadlineMs) {
      return this.refuseStart(taskId, 'the deadline passed');
    }
    this.addTask(token, start);
    return { taskId, result: 'started', reason: '' };
  }

  /** Records and returns the refusal of a start. */
  refuseStart(taskId: string, reason: string): StartResult {
    this.options.history.add(this.options.source(), { type: 'start-refused', taskId, reason });
    return { taskId, result: 'refused', reason };
  }

  /** Renews the lease of a running task. Returns its state, or undefined when the id is unknown. */
  renew(taskId: string, leaseMs: number): 'running' | 'ended' | undefined {
    const task = this.taskTable.get(taskId);
    if (task === undefined) return undefined;
    if (task.endedMs !== undefined) return 'ended';
    this.taskTable.renew(task, leaseMs);
    return 'running';
  }

  /** Applies an action to a running task; false when the task is not running. */
  applyAction(taskId: string, action: 'stop' | 'checkpoint' | 'throttle'): boolean {
    const task = this.taskTable.get(taskId);
    if (task?.endedMs !== undefined || task === undefined) return false;
    if (action === 'throttle') this.taskTable.throttle(task);
    else this.taskTable.end(task, action === 'stop' ? 'stopped' : 'checkpointed');
    return true;
  }

  /** Creates a report of the present state, with all ended tasks that the worker retains. */
  createCurrentReport(): WorkerReport {
    return this.createReportAt(this.options.clock.monotonicMs(), this.options.settings.keepEndedMs);
  }

  /**
   * Creates a report of the state `usageLagMs` ago. For the shares `repeatedReports` and
   * `reorderedReports` of the calls, returns an earlier report instead.
   */
  createUsageReport(): WorkerReport {
    const { seed, settings, source, clock } = this.options;
    this.sentReportCount += 1;
    const share = drawSeededShare(seed, `report:${source()}:${this.sentReportCount}`);
    if (share < settings.repeatedReports) {
      const repeated = this.recentReports.at(-1);
      if (repeated !== undefined) return repeated;
    } else if (share < settings.repeatedReports + settings.reorderedReports) {
      const older = this.recentReports[0];
      if (older !== undefined) return older;
    }
    const report = this.createReportAt(
      clock.monotonicMs() - this.usageLagMs,
      settings.reportEndedMs,
    );
    this.recentReports = [...this.recentReports, report].slice(-RECENT_REPORT_COUNT);
    return report;
  }

  /** Stops the progress of all tasks, or lets them continue. */
  setFrozen(isFrozen: boolean): void {
    this.taskTable.setFrozen(isFrozen);
  }

  /** Removes all state, as when the VM is lost. */
  loseState(): void {
    this.taskTable.loseAll();
    this.highestToken = -1;
    this.sequence = 0;
    this.recentReports = [];
  }

  private addTask(token: number, start: TaskStart): void {
    const { clock, checkpoints, history, source } = this.options;
    const nowMs = clock.monotonicMs();
    const { taskId, jobId, resources: declared } = start;
    const progressMs = start.resume ? checkpoints.takeProgress(jobId, taskId) : 0;
    history.add(source(), {
      type: 'task-began',
      taskId,
      jobId,
      token,
      declared,
      resumedMs: progressMs,
    });
    const runFactor = this.drawBetween(`run:${taskId}`, this.runFactor);
    const task: Task = {
      taskId,
      jobId,
      declared,
      actualUsage: scaleResources(declared, this.drawBetween(`size:${taskId}`, this.sizeFactor)),
      workMs: start.runMs === null ? null : start.runMs * runFactor,
      progressMs,
      progressAtMs: nowMs,
      progressRate: 0,
      leaseEndMs: nowMs + start.leaseMs,
      startedMs: nowMs,
      throttledMs: undefined,
      endedMs: undefined,
      outcome: undefined,
      cancelLeaseTimer: () => undefined,
      cancelCompletionTimer: () => undefined,
    };
    this.taskTable.add(task);
    if (this.failsTasks || this.isFailingJob(jobId)) {
      clock.after(FAILURE_DELAY_MS, () => {
        this.taskTable.end(task, 'failed');
      });
    }
  }

  /** Saves the progress of a checkpointed task and removes the checkpoint of a completed one. */
  private updateCheckpoint(task: Task): void {
    const { checkpoints } = this.options;
    if (task.outcome === 'checkpointed') checkpoints.save(task.jobId, task.taskId, task.progressMs);
    if (task.outcome === 'completed') checkpoints.remove(task.jobId, task.taskId);
  }

  /**
   * Creates a report of the state at the time `atMs`. It omits the tasks that ended more than
   * `maxEndedAgeMs` before.
   */
  private createReportAt(atMs: number, maxEndedAgeMs: number): WorkerReport {
    this.sequence += 1;
    const listed = this.taskTable
      .list()
      .filter((task) => task.endedMs === undefined || task.endedMs >= atMs - maxEndedAgeMs);
    const tasks = listed.flatMap((task) => computeTaskStateAt(task, atMs) ?? []);
    return { sequence: this.sequence, incarnation: this.options.incarnation(), tasks };
  }

  /** Draws a number between the bounds that depends only on the seed and the name. */
  private drawBetween(name: string, [from, to]: readonly [number, number]): number {
    return from + (to - from) * drawSeededShare(this.options.seed, name);
  }

  /** Returns whether the job is one of the share of jobs whose tasks fail on every worker. */
  private isFailingJob(jobId: string): boolean {
    const share = this.options.settings.failingJobs;
    return share > 0 && drawSeededShare(this.options.seed, `fails:${jobId}`) < share;
  }
}
