import type { Clock } from '@acaciahoist/clock';
import type { Resources } from '@acaciahoist/types/resources';
import type { TaskOutcome } from '@acaciahoist/types/task-outcome';
import type { History } from './history.js';
import { scaleResources } from './scale-resources.js';
import type { Task } from './task.js';

const THROTTLED_SPEED = 0.5;

interface TaskTableSettings {
  clock: Clock;
  history: History;
  capacity: Resources;
  keepEndedMs: number;
  source: () => string;
  onEnded: (task: Task) => void;
}

/** The tasks of one worker: progress, leases, memory. */
export class TaskTable {
  static create(settings: TaskTableSettings): TaskTable {
    return new TaskTable(settings);
  }

  private tasks = new Map<string, Task>();
  private frozen = false;

  private constructor(private readonly settings: TaskTableSettings) {}

  get(taskId: string): Task | undefined {
    return this.tasks.get(taskId);
  }

  list(): Task[] {
    return [...this.tasks.values()];
  }

  listRunning(): Task[] {
    return this.list().filter((task) => task.endedMs === undefined);
  }

  /** Adds a task that begins to run and reports what the worker oversold by it. */
  add(task: Task): void {
    this.removeOldTasks();
    // Set after removal, so that iteration is in order of the start also for a resumed task.
    this.tasks.delete(task.taskId);
    this.tasks.set(task.taskId, task);
    this.startLeaseTimer(task);
    this.recordOversold();
    this.endTasksOverMemory();
    this.updateProgress();
  }

  renew(task: Task, leaseMs: number): void {
    task.leaseEndMs = this.settings.clock.monotonicMs() + leaseMs;
    // A shorter lease must not wait for the timer of a longer one.
    this.startLeaseTimer(task);
  }

  throttle(task: Task): void {
    task.throttledMs ??= this.settings.clock.monotonicMs();
    this.updateProgress();
  }

  end(task: Task, outcome: Exclude<TaskOutcome, 'refused'> | 'lost'): void {
    if (task.endedMs !== undefined) return;
    this.updateTaskProgress(task, 0);
    task.cancelLeaseTimer();
    task.cancelCompletionTimer();
    task.endedMs = this.settings.clock.monotonicMs();
    task.outcome = outcome === 'lost' ? 'failed' : outcome;
    const { history, source, onEnded } = this.settings;
    history.add(source(), { type: 'task-ended', taskId: task.taskId, outcome });
    onEnded(task);
    if (outcome !== 'lost') this.updateProgress();
  }

  /** Ends everything without a trace at the worker, as the loss of the VM does. */
  loseAll(): void {
    const lost = this.listRunning();
    for (const task of lost) this.end(task, 'lost');
    this.tasks = new Map();
    this.frozen = false;
  }

  /** Stops progress and lease checks; after a thaw, leases that lapsed meanwhile end first. */
  freeze(isFrozen: boolean): void {
    this.frozen = isFrozen;
    if (isFrozen) {
      for (const task of this.listRunning()) this.updateTaskProgress(task, 0);
      return;
    }
    const now = this.settings.clock.monotonicMs();
    for (const task of this.listRunning()) {
      if (task.leaseEndMs <= now) this.end(task, 'lapsed');
      else this.startLeaseTimer(task);
    }
    this.updateProgress();
  }

  private startLeaseTimer(task: Task): void {
    task.cancelLeaseTimer();
    const { clock } = this.settings;
    task.cancelLeaseTimer = clock.after(task.leaseEndMs - clock.monotonicMs(), () => {
      if (this.frozen) return;
      if (clock.monotonicMs() < task.leaseEndMs) this.startLeaseTimer(task);
      else this.end(task, 'lapsed');
    });
  }

  /** Brings the progress of all tasks up to date and sets their rates for the present load. */
  private updateProgress(): void {
    if (this.frozen) return;
    const running = this.listRunning();
    const used = running.reduce((sum, task) => sum + computeUsedMillicores(task), 0);
    const speed = Math.min(1, this.settings.capacity.millicores / Math.max(1, used));
    for (const task of running) {
      this.updateTaskProgress(task, speed * (task.throttledMs === undefined ? 1 : THROTTLED_SPEED));
    }
  }

  private updateTaskProgress(task: Task, rate: number): void {
    const { clock } = this.settings;
    const now = clock.monotonicMs();
    task.progressMs += task.progressRate * (now - task.progressAtMs);
    task.progressAtMs = now;
    if (task.progressRate === rate) return;
    task.progressRate = rate;
    task.cancelCompletionTimer();
    if (task.workMs === null || rate === 0) return;
    const remainingMs = Math.max(0, task.workMs - task.progressMs) / rate;
    task.cancelCompletionTimer = clock.after(remainingMs, () => {
      this.end(task, 'completed');
    });
  }

  private recordOversold(): void {
    const { capacity, history, source } = this.settings;
    const totals = new Map<string, number>();
    for (const { declared } of this.listRunning()) {
      for (const [resource, amount] of listAmounts(declared)) {
        totals.set(resource, (totals.get(resource) ?? 0) + amount);
      }
    }
    const available = new Map(listAmounts(capacity));
    for (const [resource, used] of totals) {
      const availableAmount = available.get(resource) ?? 0;
      if (used > availableAmount)
        history.add(source(), { type: 'oversold', resource, used, capacity: availableAmount });
    }
  }

  /** Ends the newest tasks until the true use fits into the memory. */
  private endTasksOverMemory(): void {
    const { capacity, history, source } = this.settings;
    const running = this.listRunning();
    let usedMib = running.reduce((sum, task) => sum + task.actualUsage.memoryMib, 0);
    for (const task of running.reverse()) {
      if (usedMib <= capacity.memoryMib) return;
      const { taskId } = task;
      const capacityMib = capacity.memoryMib;
      history.add(source(), { type: 'out-of-memory', taskId, usedMib, capacityMib });
      usedMib -= task.actualUsage.memoryMib;
      this.end(task, 'failed');
    }
  }

  private removeOldTasks(): void {
    const oldestMs = this.settings.clock.monotonicMs() - this.settings.keepEndedMs;
    for (const task of this.tasks.values()) {
      if (task.endedMs !== undefined && task.endedMs < oldestMs) this.tasks.delete(task.taskId);
    }
  }
}

function computeUsedMillicores(task: Task): number {
  return scaleResources(task.actualUsage, task.throttledMs === undefined ? 1 : THROTTLED_SPEED)
    .millicores;
}

function listAmounts(resources: Resources): [string, number][] {
  return [
    ['millicores', resources.millicores],
    ['memoryMib', resources.memoryMib],
    ...Object.entries(resources.accelerators),
  ];
}
