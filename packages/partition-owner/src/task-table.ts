/** A task that is or may be at a worker. */
interface PlacedTask {
  taskId: string;
  jobId: string;
  worker: string;
  /**
   * Incarnation of the worker when the task was assigned; empty when the journal has none, null when no owner can
   * have sent the start.
   */
  workerIncarnation: string | null;
  /** `starting` until the worker confirmed that the task runs. */
  state: 'starting' | 'running';
  /** Monotonic time after which the worker refuses the start; infinite while no start of an armed task is on its way. */
  startableUntilMs: number;
}

/** Index by id and by worker of the tasks that are or may be at workers. */
export class TaskTable {
  static create(): TaskTable {
    return new TaskTable();
  }

  private readonly byId = new Map<string, PlacedTask>();
  private readonly byWorker = new Map<string, Map<string, PlacedTask>>();

  get size(): number {
    return this.byId.size;
  }

  add(task: PlacedTask): void {
    this.byId.set(task.taskId, task);
    const tasks = this.byWorker.get(task.worker) ?? new Map<string, PlacedTask>();
    tasks.set(task.taskId, task);
    this.byWorker.set(task.worker, tasks);
  }

  find(taskId: string): PlacedTask | undefined {
    return this.byId.get(taskId);
  }

  remove(taskId: string): PlacedTask | undefined {
    const task = this.byId.get(taskId);
    if (task === undefined) return undefined;
    this.byId.delete(taskId);
    this.byWorker.get(task.worker)?.delete(taskId);
    return task;
  }

  listByWorker(worker: string): readonly PlacedTask[] {
    return [...(this.byWorker.get(worker)?.values() ?? [])];
  }
}
