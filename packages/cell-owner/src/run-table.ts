import type { CellState } from '@acaciahoist/cell-state';
import { taskName } from '@acaciahoist/cell-state/task-name';
import { computeDemand } from '@acaciahoist/cell-planner/compute-demand';
import type { TrackedRun } from './tracked-run.js';
import { UsedCapacity } from './used-capacity.js';

/** Table of the recorded runs that have not ended, by task and by worker. */
export class RunTable {
  /** Creates a table with the runs that predecessors recorded. */
  static create(state: CellState, nowMs: number): RunTable {
    const table = new RunTable(state);
    table.addRecordedRuns(nowMs);
    return table;
  }

  /** The current run of each task. */
  private readonly byTask = new Map<string, TrackedRun>();
  /** The second run of each task that has one. */
  private readonly copies = new Map<string, TrackedRun>();
  private readonly byWorker = new Map<string, Set<TrackedRun>>();
  /** Capacity that the runs use. */
  readonly usedCapacity = UsedCapacity.create();

  private constructor(private readonly state: CellState) {}

  /** Returns the current run of a task. */
  get(task: string): TrackedRun | undefined {
    return this.byTask.get(task);
  }

  /** Returns the second run of a task. */
  getCopy(task: string): TrackedRun | undefined {
    return this.copies.get(task);
  }

  /** Returns the run of a task with this number, whether it is the current or the second one. */
  find(task: string, run: number): TrackedRun | undefined {
    const current = this.byTask.get(task);
    if (current?.run === run) return current;
    const copy = this.copies.get(task);
    return copy?.run === run ? copy : undefined;
  }

  has(trackedRun: TrackedRun): boolean {
    return this.find(trackedRun.task, trackedRun.run) === trackedRun;
  }

  listOn(worker: string): IterableIterator<TrackedRun> {
    return (this.byWorker.get(worker) ?? new Set<TrackedRun>()).values();
  }

  countOn(worker: string): number {
    return this.byWorker.get(worker)?.size ?? 0;
  }

  /** Lists all runs. */
  list(): TrackedRun[] {
    return [...this.byTask.values(), ...this.copies.values()];
  }

  listCopies(): TrackedRun[] {
    return [...this.copies.values()];
  }

  add(trackedRun: TrackedRun): void {
    const runs = this.runsLike(trackedRun);
    const former = runs.get(trackedRun.task);
    if (former !== undefined) this.remove(former);
    runs.set(trackedRun.task, trackedRun);
    let runsOnWorker = this.byWorker.get(trackedRun.worker);
    if (runsOnWorker === undefined)
      this.byWorker.set(trackedRun.worker, (runsOnWorker = new Set<TrackedRun>()));
    runsOnWorker.add(trackedRun);
    this.usedCapacity.add(trackedRun.worker, trackedRun.demand);
  }

  remove(trackedRun: TrackedRun): void {
    if (!this.has(trackedRun)) return;
    this.runsLike(trackedRun).delete(trackedRun.task);
    this.usedCapacity.remove(trackedRun.worker, trackedRun.demand);
    const runsOnWorker = this.byWorker.get(trackedRun.worker);
    runsOnWorker?.delete(trackedRun);
    if (runsOnWorker?.size === 0) this.byWorker.delete(trackedRun.worker);
  }

  /** Makes a run the second or the current one of its task, which must have no other such run. */
  setCopy(trackedRun: TrackedRun, isCopy: boolean): void {
    this.runsLike(trackedRun).delete(trackedRun.task);
    trackedRun.isCopy = isCopy;
    this.runsLike(trackedRun).set(trackedRun.task, trackedRun);
  }

  private runsLike({ isCopy }: TrackedRun): Map<string, TrackedRun> {
    return isCopy ? this.copies : this.byTask;
  }

  /** Adds the runs of jobs that have not ended and those that are left over from ended jobs. */
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
            this.add(createInheritedRun(name, task, demand, definition.estimateMs, nowMs));
          });
        });
      });
    }
    for (const ended of this.state.ended.values()) {
      for (const [name, run] of ended.leftovers)
        this.add(createInheritedRun(name, run, computeDemand(run.size), 0, nowMs));
    }
    for (const [name, run] of this.state.copies) {
      const estimateMs = this.state.findStep(name)?.estimateMs ?? 0;
      const copy = createInheritedRun(name, run, computeDemand(run.size), estimateMs, nowMs);
      this.add({ ...copy, isCopy: true });
    }
  }
}

/** Returns a run that a predecessor recorded and that its worker has not yet listed. */
function createInheritedRun(
  task: string,
  { run, worker, born }: Pick<TrackedRun, 'run' | 'worker' | 'born'>,
  demand: TrackedRun['demand'],
  estimateMs: number,
  nowMs: number,
): TrackedRun {
  return {
    task,
    run,
    worker,
    isCopy: false,
    born,
    demand,
    phase: 'inherited',
    trackedSinceMs: nowMs,
    startSettledAtMs: nowMs,
    estimateMs,
    percent: 0,
    lastProgressAtMs: nowMs,
    checkpoint: '',
    load: 0,
    pacedPercent: undefined,
    pacedAtMs: nowMs,
    isSpeedRecorded: true,
    stopSentAtMs: 0,
    stopConfirmedAtMs: 0,
  };
}
