import { canRunOn } from './can-run-on.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { Capacity } from './capacity.js';

/** Workers sorted by free processor capacity, and that capacity of each when they were sorted. */
interface WorkersByFreeCpu {
  workers: readonly PlannedWorker[];
  freeMillicores: readonly number[];
}

/**
 * Index of the startable workers by id and by kind of step, built for one round. Load pattern:
 * hundreds of waiting steps on hundreds of workers. A step considers only the workers that its
 * advice allows, or those of its service, and the lists for a kind of step are built once.
 */
export class WorkerIndex {
  static create(workers: readonly PlannedWorker[]): WorkerIndex {
    return new WorkerIndex(workers);
  }

  private readonly byId = new Map<string, PlannedWorker>();
  private readonly eligibleByKind = new Map<string, readonly PlannedWorker[]>();
  private readonly sortedByKind = new Map<string, WorkersByFreeCpu>();
  private readonly startableWorkers: readonly PlannedWorker[];

  private constructor(workers: readonly PlannedWorker[]) {
    this.startableWorkers = workers.filter((worker) => worker.acceptsStarts);
    for (const worker of this.startableWorkers) this.byId.set(worker.id, worker);
  }

  /** Lists the workers that can run tasks of the step, whether or not its advice allows them. */
  listEligible(step: ReadyStep): readonly PlannedWorker[] {
    const kind = formatKind(step);
    let eligible = this.eligibleByKind.get(kind);
    if (eligible === undefined) {
      eligible = this.startableWorkers.filter((worker) => canRunOn(step, worker));
      this.eligibleByKind.set(kind, eligible);
    }
    return eligible;
  }

  /**
   * Lists the eligible workers, with the most free processor capacity at the start of the round
   * first.
   */
  listByFreeCpu(step: ReadyStep): readonly PlannedWorker[] {
    return this.sortByFreeCpu(step).workers;
  }

  /**
   * Returns false when `tasks` tasks of this demand certainly do not fit. This cheap check rules out
   * most steps of a full cell. It considers only the free processor capacity at the start of the
   * round, and no advice.
   */
  mayFit(step: ReadyStep, demand: Capacity, tasks: number): boolean {
    if (demand.millicores === 0) return true;
    let remainingTasks = tasks;
    for (const freeMillicores of this.sortByFreeCpu(step).freeMillicores) {
      if (freeMillicores < demand.millicores) return false;
      remainingTasks -= Math.floor(freeMillicores / demand.millicores);
      if (remainingTasks <= 0) return true;
    }
    return false;
  }

  private sortByFreeCpu(step: ReadyStep): WorkersByFreeCpu {
    const kind = formatKind(step);
    let sorted = this.sortedByKind.get(kind);
    if (sorted === undefined) {
      const workers = [...this.listEligible(step)].sort(
        (left, right) =>
          right.free.millicores - left.free.millicores || (left.id < right.id ? -1 : 1),
      );
      sorted = { workers, freeMillicores: workers.map((worker) => worker.free.millicores) };
      this.sortedByKind.set(kind, sorted);
    }
    return sorted;
  }

  /**
   * Lists the workers on which the step may start, whether or not their tickets are still valid.
   */
  listAllowed(step: ReadyStep): readonly PlannedWorker[] {
    if (step.advice === undefined) return this.listEligible(step);
    const allowed: PlannedWorker[] = [];
    for (const id of step.advice.allowed.keys()) {
      const worker = this.byId.get(id);
      if (worker !== undefined && canRunOn(step, worker)) allowed.push(worker);
    }
    return allowed;
  }
}

/**
 * Formats the kind of a step: steps of one kind can run on the same workers as far as advice
 * allows.
 */
function formatKind({ queue, step }: ReadyStep): string {
  const isStrict = queue.priority === 0 || step.gang;
  return `${queue.service}\n${step.label}\n${isStrict ? 'strict' : ''}`;
}
