import type { CellState } from '@acaciahoist/cell-state';
import type { LeftoverRun } from '@acaciahoist/cell-state/leftover-run';
import { taskName } from '@acaciahoist/cell-state/task-name';
import { computeCharge } from '@acaciahoist/cell-planner/compute-charge';
import { computeDemand } from '@acaciahoist/cell-planner/compute-demand';
import { findTaskKind } from '@acaciahoist/cell-planner/find-task-kind';
import { TaskKind } from '@acaciahoist/cell-planner/task-kind';
import type { CellStep } from '@acaciahoist/cell-types/cell-step';
import { TeamUsage } from './team-usage.js';
import { TaskCounts } from './task-counts.js';
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
  /** Capacity that the long-running ones among them use. */
  readonly longRunningCapacity = UsedCapacity.create();
  /** What the runs count against the quotas of their teams. */
  readonly teamUsage = TeamUsage.create();
  readonly taskCounts = TaskCounts.create();
  /** What the long-running ones among them count. */
  readonly longRunningTeamUsage = TeamUsage.create();

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

  /** Lists the second runs of tasks. */
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
    this.teamUsage.add(trackedRun.team, trackedRun.charge);
    this.taskCounts.add(trackedRun.worker, trackedRun.kind);
    if (trackedRun.isLongRunning) {
      this.longRunningCapacity.add(trackedRun.worker, trackedRun.demand);
      this.longRunningTeamUsage.add(trackedRun.team, trackedRun.charge);
    }
  }

  remove(trackedRun: TrackedRun): void {
    if (!this.has(trackedRun)) return;
    this.runsLike(trackedRun).delete(trackedRun.task);
    this.usedCapacity.remove(trackedRun.worker, trackedRun.demand);
    this.teamUsage.remove(trackedRun.team, trackedRun.charge);
    this.taskCounts.remove(trackedRun.worker, trackedRun.kind);
    if (trackedRun.isLongRunning) {
      this.longRunningCapacity.remove(trackedRun.worker, trackedRun.demand);
      this.longRunningTeamUsage.remove(trackedRun.team, trackedRun.charge);
    }
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

  /** Returns the images of the runs on a worker, without best-effort ones, whose work changes with pacing. */
  listImagesOn(worker: string): Set<string> {
    const images = new Set<string>();
    for (const { image, kind } of this.listOn(worker))
      if (image !== '' && kind !== TaskKind.bestEffort) images.add(image);
    return images;
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
            this.add(createInheritedRun(name, task, definition, progress.job.team, nowMs));
          });
        });
      });
    }
    for (const ended of this.state.ended.values()) {
      for (const [name, run] of ended.leftovers)
        this.add(
          createInheritedRun(
            name,
            run,
            { ...run.size, estimateMs: 0, longRunning: false },
            run.team,
            nowMs,
          ),
        );
    }
    for (const [name, copy] of this.state.copies.running) {
      const definition = this.state.findStep(name) ?? copy.size;
      const step = { estimateMs: 0, ...definition, longRunning: false };
      this.add({ ...createInheritedRun(name, copy, step, copy.team, nowMs), isCopy: true });
    }
  }
}

/** Returns a run that a predecessor recorded and that its worker has not yet listed. */
function createInheritedRun(
  task: string,
  { run, worker, born }: Pick<TrackedRun, 'run' | 'worker' | 'born'>,
  step: LeftoverRun['size'] &
    Pick<CellStep, 'estimateMs' | 'longRunning'> &
    Partial<Pick<CellStep, 'tailTargetMs' | 'image'>>,
  team: string | undefined,
  nowMs: number,
): TrackedRun {
  return {
    task,
    run,
    worker,
    isCopy: false,
    born,
    demand: computeDemand(step),
    team,
    charge: computeCharge(step),
    kind: findTaskKind(step),
    image: step.image ?? '',
    imagesAtStart: new Set(),
    mayHaveCopy: false,
    isLongRunning: step.longRunning,
    phase: 'inherited',
    trackedSinceMs: nowMs,
    startSettledAtMs: nowMs,
    estimateMs: step.estimateMs,
    isStalled: false,
    percent: 0,
    lastProgressAtMs: nowMs,
    startCheckpoint: '',
    checkpoint: '',
    load: 0,
    pacedPercent: undefined,
    pacedAtMs: nowMs,
    isTimed: false,
    isSpeedRecorded: true,
    stopSentAtMs: 0,
    stopConfirmedAtMs: 0,
  };
}
