import type { CellState } from '@acaciahoist/cell-state';
import { taskName } from '@acaciahoist/cell-state/task-name';
import { sizeOf } from '@acaciahoist/cell-planner/size-of';
import type { RunView } from './run-view.js';
import { UsedRoom } from './used-room.js';

/** The runs that are recorded and have not ended, with what the owner knows of each. */
export class RunTable {
  /** Starts from the runs that former owners recorded. */
  static create(state: CellState, nowMs: number): RunTable {
    const table = new RunTable(state);
    table.rebuild(nowMs);
    return table;
  }

  private readonly byTask = new Map<string, RunView>();
  private readonly byWorker = new Map<string, Map<string, RunView>>();
  /** Room that the runs take. */
  readonly used = UsedRoom.create();

  private constructor(private readonly state: CellState) {}

  get(task: string): RunView | undefined {
    return this.byTask.get(task);
  }

  on(worker: string): IterableIterator<RunView> {
    return (this.byWorker.get(worker) ?? new Map<string, RunView>()).values();
  }

  countOn(worker: string): number {
    return this.byWorker.get(worker)?.size ?? 0;
  }

  all(): IterableIterator<RunView> {
    return this.byTask.values();
  }

  add(view: RunView): void {
    this.remove(view.task);
    this.byTask.set(view.task, view);
    let runs = this.byWorker.get(view.worker);
    if (runs === undefined) this.byWorker.set(view.worker, (runs = new Map<string, RunView>()));
    runs.set(view.task, view);
    this.used.add(view.worker, view.size);
  }

  remove(task: string): void {
    const view = this.byTask.get(task);
    if (view === undefined) return;
    this.byTask.delete(task);
    this.used.remove(view.worker, view.size);
    const runs = this.byWorker.get(view.worker);
    runs?.delete(task);
    if (runs?.size === 0) this.byWorker.delete(view.worker);
  }

  private rebuild(nowMs: number): void {
    for (const progress of this.state.jobs.values()) {
      progress.occurrences.forEach((steps, occurrence) => {
        steps.forEach((entry, step) => {
          const definition = progress.job.steps[step];
          if (definition === undefined || entry.placed === 0) return;
          entry.tasks.forEach((task, index) => {
            if (task.phase !== 'placed') return;
            const name = taskName.format({ job: progress.job.id, occurrence, step, index });
            const size = sizeOf(definition);
            this.add(inherited(name, task, size, definition.estimateMs, nowMs));
          });
        });
      });
    }
    for (const ended of this.state.ended.values()) {
      for (const [name, run] of ended.leftovers)
        this.add(inherited(name, run, sizeOf(run.size), 0, nowMs));
    }
  }
}

function inherited(
  task: string,
  { run, worker, born }: Pick<RunView, 'run' | 'worker' | 'born'>,
  size: RunView['size'],
  estimateMs: number,
  nowMs: number,
): RunView {
  return {
    task,
    run,
    worker,
    born,
    size,
    phase: 'inherited',
    sinceMs: nowMs,
    settledMs: nowMs,
    estimateMs,
    percent: 0,
    percentAtMs: nowMs,
    checkpoint: '',
    load: 0,
    pacedPercent: undefined,
    pacedMs: nowMs,
    isMeasured: true,
    stopSentMs: 0,
    stopConfirmedMs: 0,
  };
}
