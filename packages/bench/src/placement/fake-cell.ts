import type { Decision } from '@acaciahoist/placement/decision';
import type { WorkerReport } from '@acaciahoist/types/worker-report';
import type { TaskOutcome } from '@acaciahoist/types/task-outcome';
import type { Arrival } from './arrival.js';
import type { FakeTask } from './fake-task.js';
import type { FakeWorker } from './fake-worker.js';
import { Random } from '@acaciahoist/random';
import type { Workload } from './workload.js';

const CHECKPOINT_DURATION_MS = 300;
const STOP_DURATION_MS = 200;
/** Run time after which a task fails on a faulty worker or in a broken family. */
const RUN_BEFORE_FAILURE_MS = 400;

type Start = Extract<Decision, { type: 'start' }>;

/** Fake workers that run tasks on the fake clock with the real sizes and run times. */
export class FakeCell {
  static create(workload: Workload): FakeCell {
    const cell = new FakeCell(Random.create(workload.seed ^ 0x5eed));
    for (const { address, resources } of workload.workers) {
      cell.workers.set(address, {
        address,
        capacity: resources,
        isRunning: true,
        isFaulty: workload.faultyWorkers.has(address),
        tasks: new Map(),
        reportSequence: 0,
      });
    }
    return cell;
  }

  readonly workers = new Map<string, FakeWorker>();
  readonly tasks = new Map<string, FakeTask>();
  /** Progress saved by the last checkpoint, by logical task id. */
  private readonly savedProgressMs = new Map<string, number>();
  private readonly workMsByTask = new Map<string, number>();

  private constructor(private readonly random: Random) {}

  /** Starts a run of a task; a start at a worker that has failed is lost. */
  start(decision: Start, arrival: Arrival): void {
    const worker = this.workers.get(decision.worker);
    if (worker?.isRunning !== true) return;
    const logicalTaskId = decision.taskId.slice(0, decision.taskId.lastIndexOf('.'));
    const { family } = arrival;
    const factor = family.sizeFactor * (0.9 + 0.2 * this.random.next());
    const progressMs = this.savedProgressMs.get(logicalTaskId) ?? 0;
    const task: FakeTask = {
      taskId: decision.taskId,
      logicalTaskId,
      arrival,
      worker: worker.address,
      usage: {
        millicores: Math.round(family.declared.millicores * factor),
        memoryMib: Math.round(family.declared.memoryMib * factor),
        accelerators: family.declared.accelerators,
      },
      reportedUsage: null,
      throttled: false,
      workMs: this.drawWorkMs(logicalTaskId, arrival),
      progressMs,
      startedAtProgressMs: progressMs,
      plannedEnd: null,
    };
    worker.tasks.set(task.taskId, task);
    this.tasks.set(task.taskId, task);
  }

  /** Applies a throttle, checkpoint or stop decision to its task. */
  applyDecision(decision: Decision, nowMs: number): void {
    if (!('taskId' in decision)) return;
    const task = this.tasks.get(decision.taskId);
    if (task === undefined) return;
    if (decision.type === 'throttle') {
      task.throttled = true;
      const { millicores } = task.arrival.family.declared;
      task.usage = { ...task.usage, millicores: Math.min(task.usage.millicores, millicores) };
    }
    if (decision.type === 'checkpoint' && task.plannedEnd === null) {
      task.plannedEnd = { atMs: nowMs + CHECKPOINT_DURATION_MS, outcome: 'checkpointed' };
    }
    if (decision.type === 'stop')
      task.plannedEnd = { atMs: nowMs + STOP_DURATION_MS, outcome: 'stopped' };
  }

  /** Advances the tasks of every worker by one tick; returns those that ended. */
  advance(nowMs: number, tickMs: number): { task: FakeTask; outcome: TaskOutcome }[] {
    const ended: { task: FakeTask; outcome: TaskOutcome }[] = [];
    for (const worker of this.workers.values()) {
      if (!worker.isRunning) continue;
      let usedMillicores = 0;
      for (const task of worker.tasks.values()) usedMillicores += task.usage.millicores;
      const rate = Math.min(1, worker.capacity.millicores / Math.max(1, usedMillicores));
      for (const task of worker.tasks.values()) {
        task.progressMs += task.throttled ? (rate * tickMs) / 2 : rate * tickMs;
        const outcome = this.outcomeOf(task, worker, nowMs);
        if (outcome !== null) ended.push({ task, outcome });
      }
    }
    for (const { task, outcome } of ended) this.remove(task, outcome);
    return ended;
  }

  createReport(worker: FakeWorker): WorkerReport {
    worker.reportSequence += 1;
    const tasks = [...worker.tasks.values()].map((task) => ({
      taskId: task.taskId,
      state: 'running' as const,
      usage: task.usage,
      throttled: task.throttled,
      progressMs: Math.floor(task.progressMs),
    }));
    return { sequence: worker.reportSequence, incarnation: 'first', tasks };
  }

  /** Makes the worker fail, which loses its tasks. */
  failWorker(address: string): void {
    const worker = this.workers.get(address);
    if (worker === undefined) return;
    worker.isRunning = false;
    for (const task of worker.tasks.values()) this.tasks.delete(task.taskId);
    worker.tasks.clear();
  }

  private drawWorkMs(logicalTaskId: string, arrival: Arrival): number {
    const drawnMs = this.workMsByTask.get(logicalTaskId);
    if (drawnMs !== undefined) return drawnMs;
    const { family } = arrival;
    const factor = family.runFactor * (0.8 + 0.4 * this.random.next());
    const workMs = family.kind === 'service' ? Infinity : family.declaredRunMs * factor;
    this.workMsByTask.set(logicalTaskId, workMs);
    return workMs;
  }

  private outcomeOf(task: FakeTask, worker: FakeWorker, nowMs: number): TaskOutcome | null {
    const ranMs = task.progressMs - task.startedAtProgressMs;
    if ((worker.isFaulty || task.arrival.family.broken) && ranMs >= RUN_BEFORE_FAILURE_MS)
      return 'failed';
    if (task.progressMs >= task.workMs) return 'completed';
    if (task.plannedEnd === null || task.plannedEnd.atMs > nowMs) return null;
    return task.plannedEnd.outcome;
  }

  private remove(task: FakeTask, outcome: TaskOutcome): void {
    if (outcome === 'checkpointed') this.savedProgressMs.set(task.logicalTaskId, task.progressMs);
    this.workers.get(task.worker)?.tasks.delete(task.taskId);
    this.tasks.delete(task.taskId);
  }
}
