import type { Decision } from '@acaciahoist/placement/decision';
import type { Outcome } from '@acaciahoist/types/outcome';
import type { FakeCell } from './fake-cell.js';
import type { FakeTask } from './fake-task.js';
import type { Workload } from './workload.js';

/** Violations whose text is kept for the report; further ones are only counted. */
const MAX_EXAMPLES = 5;
/** Time within which a cancelled job must have its outcome. */
const MAX_CANCELLATION_MS = 10_000;

/**
 * Checks the decisions against the fake workers, independently of the core's own accounting, and collects
 * the violations.
 */
export class ViolationLog {
  static create(workload: Workload, cell: FakeCell): ViolationLog {
    return new ViolationLog(workload, cell);
  }

  count = 0;
  readonly examples: string[] = [];
  readonly outcomes = new Map<string, Outcome>();
  /** Task ids of the runs that have started and not ended, by logical task id. */
  private readonly activeTaskIds = new Map<string, string>();
  private readonly workerByTask = new Map<string, string>();
  private readonly cancelledAtMsByJob = new Map<string, number>();
  private readonly lastCheckpointProgressMs = new Map<string, number>();
  private readonly taskCountByJob = new Map<string, number>();

  private constructor(
    workload: Workload,
    private readonly cell: FakeCell,
  ) {
    for (const { jobId, spec } of workload.arrivals) {
      this.taskCountByJob.set(
        jobId,
        spec.groups.reduce((sum, group) => sum + group.count, 0),
      );
    }
  }

  /** Checks a start against outcomes, other runs of the task and capacity; call before it is applied. */
  checkStart(decision: Extract<Decision, { type: 'start' }>, declared: FakeTask['usage']): void {
    const logicalTaskId = decision.taskId.slice(0, decision.taskId.lastIndexOf('.'));
    if (this.outcomes.has(decision.jobId)) this.add(`start after the outcome: ${decision.jobId}`);
    if (this.activeTaskIds.has(logicalTaskId))
      this.add(`start while another run is active: ${logicalTaskId}`);
    this.activeTaskIds.set(logicalTaskId, decision.taskId);
    this.workerByTask.set(logicalTaskId, decision.worker);
    const worker = this.cell.workers.get(decision.worker);
    if (worker === undefined) return;
    let millicores = declared.millicores;
    let memoryMib = declared.memoryMib;
    const accelerators: Record<string, number> = { ...declared.accelerators };
    for (const task of worker.tasks.values()) {
      const need = task.arrival.family.declared;
      millicores += Math.max(need.millicores, task.reportedUsage?.millicores ?? 0);
      memoryMib += Math.max(need.memoryMib, task.reportedUsage?.memoryMib ?? 0);
      for (const [kind, amount] of Object.entries(need.accelerators)) {
        accelerators[kind] = (accelerators[kind] ?? 0) + amount;
      }
    }
    const { capacity } = worker;
    const exceedsAccelerators = Object.entries(accelerators).some(
      ([kind, amount]) => amount > (capacity.accelerators[kind] ?? 0),
    );
    if (millicores > capacity.millicores || memoryMib > capacity.memoryMib || exceedsAccelerators) {
      this.add(
        `start beyond the capacity of ${decision.worker}: ${millicores} millicores, ` +
          `${memoryMib} MiB, accelerators ${JSON.stringify(accelerators)}`,
      );
    }
  }

  /**
   * Checks that one list of decisions starts all tasks of a gang that have not completed.
   * `countCompletedTasks` returns null for jobs that are no gangs.
   */
  checkGangs(
    decisions: readonly Decision[],
    countCompletedTasks: (jobId: string) => number | null,
  ): void {
    const starts = new Map<string, number>();
    for (const decision of decisions) {
      if (decision.type !== 'start') continue;
      starts.set(decision.jobId, (starts.get(decision.jobId) ?? 0) + 1);
    }
    for (const [jobId, count] of starts) {
      const all = this.taskCountByJob.get(jobId) ?? 0;
      const completed = countCompletedTasks(jobId);
      if (completed !== null && count + completed !== all)
        this.add(`gang ${jobId}: ${count} of ${all - completed} tasks started together`);
    }
  }

  /** Checks that the task made progress since its previous checkpoint. */
  checkCheckpoint(task: FakeTask): void {
    const lastProgressMs = this.lastCheckpointProgressMs.get(task.logicalTaskId);
    if (lastProgressMs !== undefined && task.progressMs <= lastProgressMs)
      this.add(
        `no progress between two checkpoints: ${task.logicalTaskId} at ${lastProgressMs} ms`,
      );
    this.lastCheckpointProgressMs.set(task.logicalTaskId, task.progressMs);
  }

  recordTaskEnd(task: { logicalTaskId: string }): void {
    this.activeTaskIds.delete(task.logicalTaskId);
    this.workerByTask.delete(task.logicalTaskId);
  }

  /** Records that the scheduler removed the worker, which ends its tasks. */
  recordWorkerRemoval(address: string): void {
    for (const [logicalTaskId, worker] of this.workerByTask) {
      if (worker !== address) continue;
      this.activeTaskIds.delete(logicalTaskId);
      this.workerByTask.delete(logicalTaskId);
    }
  }

  recordCancellation(jobId: string, atMs: number): void {
    this.cancelledAtMsByJob.set(jobId, atMs);
  }

  /** Checks that every job cancelled long enough ago has its outcome. */
  checkCancellations(nowMs: number): void {
    for (const [jobId, atMs] of this.cancelledAtMsByJob) {
      if (nowMs - atMs < MAX_CANCELLATION_MS || this.outcomes.has(jobId)) continue;
      this.add(`cancelled without an outcome: ${jobId}`);
    }
  }

  recordJobEnd(jobId: string, outcome: Outcome): void {
    const earlier = this.outcomes.get(jobId);
    if (earlier !== undefined) this.add(`two outcomes: ${jobId} ${earlier}, then ${outcome}`);
    this.outcomes.set(jobId, outcome);
  }

  add(text: string): void {
    this.count += 1;
    if (this.examples.length < MAX_EXAMPLES) this.examples.push(text);
  }
}
