import type { CellState } from '@acaciahoist/cell-state';
import { taskName } from '@acaciahoist/cell-state/task-name';
import { computeDemand } from '@acaciahoist/cell-planner/compute-demand';
import type { RunView } from './run-view.js';
import { UsedCapacity } from './used-capacity.js';

/** Table of the runs that are recorded and have not ended, by task and by worker. */
export class RunTable {
  /** Creates a table with the runs that predecessors recorded. */
  static create(state: CellState, nowMs: number): RunTable {
    const table = new RunTable(state);
    table.addRecordedRuns(nowMs);
    return table;
  }

  private readonly byTask = new Map<string, RunView>();
  private readonly byWorker = new Map<string, Map<string, RunView>>();
  /** Capacity that the runs use. */
  readonly usedCapacity = UsedCapacity.create();

  private constructor(private readonly state: CellState) {}

  get(task: string): RunView | undefined {
    return this.byTask.get(task);
  }

  listOn(worker: string): IterableIterator<RunView> {
    return (this.byWorker.get(worker) ?? new Map<string, RunView>()).values();
  }

  countOn(worker: string): number {
    return this.byWorker.get(worker)?.size ?? 0;
  }

  list(): IterableIterator<RunView> {
    return this.byTask.values();
  }

  add(view: RunView): void {
    this.remove(view.task);
    this.byTask.set(view.task, view);
    let runs = this.byWorker.get(view.worker);
    if (runs === undefined) this.byWorker.set(view.worker, (runs = new Map<string, RunView>()));
    runs.set(view.task, view);
    this.usedCapacity.add(view.worker, view.demand);
  }

  remove(task: string): void {
    const view = this.byTask.get(task);
    if (view === undefined) return;
    this.byTask.delete(task);
    this.usedCapacity.remove(view.worker, view.demand);
    const runs = this.byWorker.get(view.worker);
    runs?.delete(task);
    if (runs?.size === 0) this.byWorker.delete(view.worker);
  }

  private addRecordedRuns(nowMs: number): void {
    for (const progress of this.state.jobs.values()) {
      progress.occurrences.forEach((steps, occurrence) => {
        steps.forEach((stepProgress, step) => {
          const definition = progress.job.steps[step];
          if (definition === undefined || stepProgress.placed === 0) return;
          stepProgress.tasks.forEach((task, index) => {
            if (task.phase !== 'placed') return;
            const name = taskName.format({ job: progress.job.id, occurrence, step, index });
            const demand = computeDemand(definition);
            this.add(createInheritedView(name, task, demand, definition.estimateMs, nowMs));
          });
        });
      });
    }
    for (const ended of this.state.ended.values()) {
      for (const [name, run] of ended.leftovers)
        this.add(createInheritedView(name, run, computeDemand(run.size), 0, nowMs));
    }
  }
}

function createInheritedView(
  task: string,
  { run, worker, born }: Pick<RunView, 'run' | 'worker' | 'born'>,
  demand: RunView['demand'],
  estimateMs: number,
  nowMs: number,
): RunView {
  return {
    task,
    run,
    worker,
    born,
    demand,
    phase: 'inherited',
    knownSinceMs: nowMs,
    startSettledMs: nowMs,
    estimateMs,
    percent: 0,
    percentAtMs: nowMs,
    checkpoint: '',
    load: 0,
    pacedPercent: undefined,
    pacedMs: nowMs,
    isSpeedRecorded: true,
    stopSentMs: 0,
    stopConfirmedMs: 0,
  };
}
