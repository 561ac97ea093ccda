import type { Clock } from '@acaciahoist/clock';
import type { Resources } from '@acaciahoist/types/resources';
import type { TaskOutcome } from '@acaciahoist/types/task-outcome';
import type { History } from './history.js';
import { scaleResources } from './scale-resources.js';
import type { Task } from './task.js';

/** Speed and processor use of a throttled task, as a share of those of an unthrottled one. */
const THROTTLED_SPEED = 0.5;

interface TaskTableSettings {
  clock: Clock;
  history: History;
  capacity: Resources;
  /** Time for which an ended task is retained. */
  keepEndedMs: number;
  /** Address of the worker, under which the history records its events. */
  source: () => string;
  onEnded: (task: Task) => void;
}

/** The tasks of one worker. Tracks progress and leases, and ends tasks that exceed its memory. */
export class TaskTable {
  static create(settings: TaskTableSettings): TaskTable {
    return new TaskTable(settings);
  }

  private tasks = new Map<string, Task>();
  private isFrozen = false;

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

  /**
   * Adds a task that starts. Records each resource of which the running tasks declare more than the
   * worker has, and ends the newest tasks if their actual memory use exceeds it.
   */
  add(task: Task): void {
    this.removeOldTasks();
    // Removed first, so that a resumed task moves to the end and iteration is in the order of
    // starts.
    this.tasks.delete(task.taskId);
    this.tasks.set(task.taskId, task);
    this.startLeaseTimer(task);
    this.recordOversold();
    this.endTasksOverMemory();
    this.updateProgress();
  }

  /** Sets the lease of a task to end `leaseMs` from now, even if that is earlier than before. */
  renew(task: Task, leaseMs: number): void {
    task.leaseEndMs = this.settings.clock.monotonicMs() + leaseMs;
    // The timer is replaced, since the timer of a longer lease would fire after the end of a shorter
    // one.
    this.startLeaseTimer(task);
  }

  /** Halves the speed and processor use of a task from now on. */
  throttle(task: Task): void {
    task.throttledMs ??= this.settings.clock.monotonicMs();
    this.updateProgress();
  }

  /** Ends a running task and records its outcome. */
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

  /** Ends all tasks as lost and removes them, as when the VM is lost. */
  loseAll(): void {
    const lost = this.listRunning();
    for (const task of lost) this.end(task, 'lost');
    this.tasks = new Map();
    this.isFrozen = false;
  }

  /**
   * `setFrozen(true)` stops progress and lease checks. `setFrozen(false)` first ends the tasks whose
   * lease lapsed in the meantime and then lets the others continue.
   */
  setFrozen(isFrozen: boolean): void {
    this.isFrozen = isFrozen;
    if (isFrozen) {
      for (const task of this.listRunning()) this.updateTaskProgress(task, 0);
      return;
    }
    const nowMs = this.settings.clock.monotonicMs();
    for (const task of this.listRunning()) {
      if (task.leaseEndMs <= nowMs) this.end(task, 'lapsed');
      else this.startLeaseTimer(task);
    }
    this.updateProgress();
  }

  private startLeaseTimer(task: Task): void {
    task.cancelLeaseTimer();
    const { clock } = this.settings;
    task.cancelLeaseTimer = clock.after(task.leaseEndMs - clock.monotonicMs(), () => {
      if (this.isFrozen) return;
      if (clock.monotonicMs() < task.leaseEndMs) this.startLeaseTimer(task);
      else this.end(task, 'lapsed');
    });
  }

  /**
   * Updates the progress of all tasks and sets their rates according to the present processor use.
   */
  private updateProgress(): void {
    if (this.isFrozen) return;
    const running = this.listRunning();
    const used = running.reduce((sum, task) => sum + computeUsedMillicores(task), 0);
    const speed = Math.min(1, this.settings.capacity.millicores / Math.max(1, used));
    for (const task of running) {
      this.updateTaskProgress(task, speed * (task.throttledMs === undefined ? 1 : THROTTLED_SPEED));
    }
  }

  /**
   * Adds the progress since the last update, sets the rate and the timer for the task's completion.
   */
  private updateTaskProgress(task: Task, rate: number): void {
    const { clock } = this.settings;
    const nowMs = clock.monotonicMs();
    task.progressMs += task.progressRate * (nowMs - task.progressAtMs);
    task.progressAtMs = nowMs;
    if (task.progressRate === rate) return;
    task.progressRate = rate;
    task.cancelCompletionTimer();
    if (task.workMs === null || rate === 0) return;
    const remainingMs = Math.max(0, task.workMs - task.progressMs) / rate;
    task.cancelCompletionTimer = clock.after(remainingMs, () => {
      this.end(task, 'completed');
    });
  }

  /** Records each resource of which the running tasks declare more than the worker has. */
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

  /** Ends the newest tasks until the actual memory use fits into the memory of the worker. */
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

  /** Removes the tasks that ended more than `keepEndedMs` ago. */
  private removeOldTasks(): void {
    const minEndedMs = this.settings.clock.monotonicMs() - this.settings.keepEndedMs;
    for (const task of this.tasks.values()) {
      if (task.endedMs !== undefined && task.endedMs < minEndedMs) this.tasks.delete(task.taskId);
    }
  }
}

/** Computes the actual processor use of a task, throttled or not. */
function computeUsedMillicores(task: Task): number {
  return scaleResources(task.actualUsage, task.throttledMs === undefined ? 1 : THROTTLED_SPEED)
    .millicores;
}

/** Lists the amount of each resource by its name. */
function listAmounts(resources: Resources): [string, number][] {
  return [
    ['millicores', resources.millicores],
    ['memoryMib', resources.memoryMib],
    ...Object.entries(resources.accelerators),
  ];
}
