import { TaskKind } from '@acaciahoist/cell-planner/task-kind';

/**
 * Numbers of serving and best-effort tasks by worker. They are updated with each change, so that no planning round
 * has to look at all runs.
 */
export class TaskCounts {
  static create(): TaskCounts {
    return new TaskCounts();
  }

  private readonly byKind = {
    [TaskKind.serving]: new Map<string, number>(),
    [TaskKind.bestEffort]: new Map<string, number>(),
  };

  add(worker: string, kind: TaskKind): void {
    this.change(worker, kind, 1);
  }

  remove(worker: string, kind: TaskKind): void {
    this.change(worker, kind, -1);
  }

  count(worker: string, kind: keyof typeof this.byKind): number {
    return this.byKind[kind].get(worker) ?? 0;
  }

  private change(worker: string, kind: TaskKind, by: number): void {
    if (kind === TaskKind.other) return;
    const counts = this.byKind[kind];
    const count = (counts.get(worker) ?? 0) + by;
    if (count > 0) counts.set(worker, count);
    else counts.delete(worker);
  }
}
