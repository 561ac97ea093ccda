import { RunEnd } from '@acaciahoist/cell-types/run-end';
import { taskName } from '@acaciahoist/cell-state/task-name';
import type { EmulatedCell } from './emulated-cell.js';

/** Time in ms for which a due job may have nothing running while the cell has room for it and is half idle. */
const MAX_IDLE_WAIT_MS = 3_000;

/** Finds jobs that wait beside idle workers: clients expect a start while less than half of the cell is in use. */
export class IdleWaitCheck {
  static create(cell: EmulatedCell): IdleWaitCheck {
    return new IdleWaitCheck(cell);
  }

  readonly problems: string[] = [];
  private readonly waitingSinceMs = new Map<string, number>();

  private constructor(private readonly cell: EmulatedCell) {}

  /** Must be called every 100 ms or so. */
  sample(): void {
    const { cell } = this;
    const nowMs = cell.clock.monotonicMs();
    const running = new Map<string, string>();
    const doneTasks = new Set<string>();
    for (const { kind, task, worker, how } of cell.history) {
      if (kind === 'started') running.set(task, worker);
      if (kind === 'ended') running.delete(task);
      if (kind === 'ended' && how === RunEnd.done) doneTasks.add(task);
    }
    const free = this.computeFree(running);
    const total = [...cell.workers.values()].reduce((sum, { entry }) => sum + entry.millicores, 0);
    const idle = [...free.values()].reduce((sum, millicores) => sum + millicores, 0);
    const runningJobs = new Set([...running.keys()].map((task) => taskName.jobOf(task)));
    for (const id of cell.acceptedJobs) {
      const isWaiting =
        idle > total / 2 && !runningJobs.has(id) && this.hasRoomForDueTask(id, doneTasks, free);
      if (!isWaiting) this.waitingSinceMs.delete(id);
      else if (!this.waitingSinceMs.has(id)) this.waitingSinceMs.set(id, nowMs);
      else if (nowMs - (this.waitingSinceMs.get(id) ?? nowMs) > MAX_IDLE_WAIT_MS)
        this.problems.push(`job ${id} waits beside idle workers at ${nowMs} ms`);
    }
  }

  private computeFree(running: ReadonlyMap<string, string>): Map<string, number> {
    const free = new Map(
      [...this.cell.workers].map(([id, { entry }]) => [id, entry.millicores] as const),
    );
    for (const [task, worker] of running) {
      const ref = taskName.parse(task);
      const step = ref && this.cell.jobs.get(ref.job)?.steps[ref.step];
      free.set(worker, (free.get(worker) ?? 0) - (step?.millicores ?? 0));
    }
    return free;
  }

  /** Returns whether a step of the job is due and the workers have room for its tasks twice over. */
  private hasRoomForDueTask(
    id: string,
    doneTasks: ReadonlySet<string>,
    free: ReadonlyMap<string, number>,
  ): boolean {
    const steps = this.cell.jobs.get(id)?.steps ?? [];
    const isDone = (step: number): boolean =>
      Array.from({ length: steps[step]?.count ?? 0 }, (_, index) =>
        doneTasks.has(taskName.format({ job: id, occurrence: 0, step, index })),
      ).every(Boolean);
    return steps.some(({ after, count, gang, millicores }, step) => {
      if (isDone(step) || !after.every(isDone)) return false;
      const places = [...free.values()].reduce(
        (sum, capacity) => sum + Math.floor(capacity / millicores),
        0,
      );
      return places >= 2 * (gang ? count : 1);
    });
  }
}
