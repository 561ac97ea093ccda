import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { taskName } from '@acaciahoist/cell-state/task-name';
import type { CellJob } from '@acaciahoist/cell-types';
import type { EmulatedCell } from '../emulated-cell.js';
import { listRunningTasks } from './list-running-tasks.js';

/** Time in ms for which a due job may have nothing running while the cell has room for it and is half idle. */
const MAX_WAIT_MS = 3_000;

/**
 * Finds due jobs that wait beside idle workers, which may differ in size and labels. Jobs that advice or a quota may
 * hold back and jobs with several occurrences are left out.
 */
export class StartWaitCheck {
  static create(cell: EmulatedCell): StartWaitCheck {
    return new StartWaitCheck(cell);
  }

  /** Description of the first wait of each job that was too long. */
  readonly problems = new Map<string, string>();
  private readonly waitingSinceMs = new Map<string, number>();

  private constructor(private readonly cell: EmulatedCell) {}

  /** Must be called every 200 ms or so. */
  sample(): void {
    const { cell } = this;
    const nowMs = cell.clock.monotonicMs();
    const running = listRunningTasks(cell.history);
    const free = this.computeFree(running);
    const upWorkers = [...cell.workers.values()].filter(({ isUp }) => isUp);
    const total = upWorkers.reduce((sum, { entry }) => sum + entry.millicores, 0);
    const idle = [...free.values()].reduce((sum, millicores) => sum + millicores, 0);
    const runningJobs = new Set([...running.keys()].map((task) => taskName.jobOf(task)));
    const doneTasks = new Set(
      cell.history.filter(({ how }) => how === RunEnd.done).map(({ task }) => task),
    );
    for (const id of cell.acceptedJobs) {
      const job = cell.jobs.get(id);
      const isWaiting =
        idle > total / 2 &&
        job !== undefined &&
        !runningJobs.has(id) &&
        this.mayStart(job) &&
        hasRoomForDueStep(job, doneTasks, (step) => this.countPlaces(step, free));
      if (!isWaiting) this.waitingSinceMs.delete(id);
      const sinceMs = this.waitingSinceMs.get(id) ?? nowMs;
      if (isWaiting) this.waitingSinceMs.set(id, sinceMs);
      if (nowMs - sinceMs > MAX_WAIT_MS && !this.problems.has(id))
        this.problems.set(id, `job ${id} waits beside idle workers from ${sinceMs} ms on`);
    }
  }

  private mayStart({ id, queue, team, occurrences, firstRunMs }: CellJob): boolean {
    const isLimited = queue.advice !== undefined || team !== undefined || occurrences !== 1;
    const isDue = firstRunMs <= this.cell.clock.wallMs();
    return !isLimited && isDue && !this.cell.cancelRequestedAtMs.has(id);
  }

  private computeFree(running: ReadonlyMap<string, string>): Map<string, number> {
    const free = new Map<string, number>();
    for (const { entry, isUp } of this.cell.workers.values())
      if (isUp) free.set(entry.id, entry.millicores);
    for (const [task, worker] of running) {
      const ref = taskName.parse(task);
      const step = ref && this.cell.jobs.get(ref.job)?.steps[ref.step];
      const used = step?.usesSpareCpu === true ? 0 : (step?.millicores ?? 0);
      free.set(worker, (free.get(worker) ?? 0) - used);
    }
    return free;
  }

  private countPlaces(
    { millicores, label }: CellJob['steps'][number],
    free: ReadonlyMap<string, number>,
  ): number {
    let places = 0;
    for (const [worker, freeMillicores] of free) {
      const labels = this.cell.workers.get(worker)?.entry.labels ?? [];
      if (label === '' || labels.includes(label))
        places += Math.max(0, Math.floor(freeMillicores / millicores));
    }
    return places;
  }
}

/** Returns whether a step of the job is due and the workers have room for its tasks twice over. */
function hasRoomForDueStep(
  { id, steps }: CellJob,
  doneTasks: ReadonlySet<string>,
  countPlaces: (step: CellJob['steps'][number]) => number,
): boolean {
  const isDone = (step: number): boolean => {
    for (let index = 0; index < (steps[step]?.count ?? 0); index += 1)
      if (!doneTasks.has(taskName.format({ job: id, occurrence: 0, step, index }))) return false;
    return true;
  };
  return steps.some((step, index) => {
    if (step.usesSpareCpu || step.maxPerWorker > 0) return false;
    if (isDone(index) || !step.after.every(isDone)) return false;
    return countPlaces(step) >= 2 * (step.gang ? step.count : 1);
  });
}
