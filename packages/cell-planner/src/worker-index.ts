import { canRunOn } from './can-run-on.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { Room } from './room.js';

/** Workers in order of their free processors when the order was made. */
interface WorkersByFreeCpu {
  workers: readonly PlannedWorker[];
  freeMillicores: readonly number[];
}

/**
 * Startable workers by id and by service. Load pattern: hundreds of waiting steps on hundreds of
 * workers. A step looks only at the workers that its advice allows, or at those of its service, and
 * lists of the same kind of step are made once a round.
 */
export class WorkerIndex {
  static create(workers: readonly PlannedWorker[]): WorkerIndex {
    return new WorkerIndex(workers);
  }

  private readonly byId = new Map<string, PlannedWorker>();
  private readonly byKind = new Map<string, readonly PlannedWorker[]>();
  private readonly byFreeCpu = new Map<string, WorkersByFreeCpu>();
  private readonly startable: readonly PlannedWorker[];

  private constructor(workers: readonly PlannedWorker[]) {
    this.startable = workers.filter((worker) => worker.startable);
    for (const worker of this.startable) this.byId.set(worker.id, worker);
  }

  /** Workers that can run tasks of the step, whether its advice allows them or not. */
  listEligible(step: ReadyStep): readonly PlannedWorker[] {
    const kind = formatKind(step);
    let eligible = this.byKind.get(kind);
    if (eligible === undefined) {
      eligible = this.startable.filter((worker) => canRunOn(step, worker));
      this.byKind.set(kind, eligible);
    }
    return eligible;
  }

  /** The same, those with the most free processors at the start of the round first. */
  listByFreeCpu(step: ReadyStep): readonly PlannedWorker[] {
    return this.sortByFreeCpu(step).workers;
  }

  /**
   * False when so many tasks of this size cannot find room, by the processors at the start of the round
   * alone and whatever advice allows. Rules out most steps of a full cell.
   */
  mayFit(step: ReadyStep, demand: Room, tasks: number): boolean {
    if (demand.millicores === 0) return true;
    let missing = tasks;
    for (const freeMillicores of this.sortByFreeCpu(step).freeMillicores) {
      if (freeMillicores < demand.millicores) return false;
      missing -= Math.floor(freeMillicores / demand.millicores);
      if (missing <= 0) return true;
    }
    return false;
  }

  private sortByFreeCpu(step: ReadyStep): WorkersByFreeCpu {
    const kind = formatKind(step);
    let sorted = this.byFreeCpu.get(kind);
    if (sorted === undefined) {
      const workers = [...this.listEligible(step)].sort(
        (left, right) =>
          right.free.millicores - left.free.millicores || (left.id < right.id ? -1 : 1),
      );
      sorted = { workers, freeMillicores: workers.map((worker) => worker.free.millicores) };
      this.byFreeCpu.set(kind, sorted);
    }
    return sorted;
  }

  /** Workers that the step may start on, whether their tickets are still valid or not. */
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

/** Steps of the same kind can run on the same workers as far as advice allows. */
function formatKind({ queue, step }: ReadyStep): string {
  const isStrict = queue.priority === 0 || step.gang;
  return `${queue.service}\n${step.label}\n${isStrict ? 'strict' : ''}`;
}
