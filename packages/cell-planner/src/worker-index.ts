import { canHoldTasks } from './can-hold-tasks.js';
import { canRunOn } from './can-run-on.js';
import type { PlannedWorker } from './planned-worker.js';
import type { ReadyStep } from './ready-step.js';
import type { Capacity } from './capacity.js';
import { computeDemand } from './compute-demand.js';
import { fits } from './fits.js';
import { hasLabel } from './has-label.js';

/**
 * Number of starts after which the free capacity is sorted again. Between two sorts it is an upper bound. At 2,000 steps
 * on 350 workers, a bound from the start of the round let most steps search all their workers in vain.
 */
const STARTS_PER_SORT = 32;

/** Workers sorted by free processor capacity, and that capacity of each when they were sorted. */
interface WorkersByFreeCpu {
  workers: readonly PlannedWorker[];
  freeMillicores: Float64Array;
}

/** Lists for the steps that can run on the same workers as far as advice allows. */
interface StepKind {
  eligible: readonly PlannedWorker[];
  sorted: WorkersByFreeCpu | undefined;
  /** The same as of the last sort, and the number of starts at that time. */
  bound: { sorted: WorkersByFreeCpu; starts: number } | undefined;
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
  /** Kinds of prompt steps and gangs, and of other steps, by service and label. */
  private readonly kinds = {
    strict: new Map<string, Map<string, StepKind>>(),
    other: new Map<string, Map<string, StepKind>>(),
  };
  private starts = 0;
  private readonly startableWorkers: readonly PlannedWorker[];
  /** Workers that get a task only of a step that can run nowhere else. */
  private readonly lastResorts: readonly PlannedWorker[];

  private constructor(workers: readonly PlannedWorker[]) {
    this.startableWorkers = workers.filter((worker) => worker.acceptsStarts);
    for (const worker of this.startableWorkers) this.byId.set(worker.id, worker);
    this.lastResorts = workers.filter((worker) => worker.isLastResort);
  }

  /**
   * Lists the workers that can run tasks of the step, whether or not its advice allows them. Ejection is a
   * preference: if the step would never fit on the other workers, its list includes ejected ones and those on
   * probation.
   */
  listEligible(step: ReadyStep): readonly PlannedWorker[] {
    const eligible = this.listPreferred(step);
    const lastResorts = this.listLastResorts(step, eligible);
    return lastResorts.length === 0 ? eligible : [...eligible, ...lastResorts];
  }

  private listLastResorts(
    step: ReadyStep,
    preferred: readonly PlannedWorker[],
  ): readonly PlannedWorker[] {
    if (this.lastResorts.length === 0) return [];
    const demand = computeDemand(step.step);
    const tasks = step.step.gang ? step.waitingTasks.length : 1;
    const isAllowed = (worker: PlannedWorker): boolean =>
      step.advice?.denied.has(worker.id) !== true;
    const fitsPreferred = canHoldTasks(
      step,
      demand,
      tasks,
      preferred.filter(isAllowed),
      (worker) => worker.eventuallyFree,
    );
    if (fitsPreferred) return [];
    return this.lastResorts.filter(
      (worker) =>
        !preferred.includes(worker) &&
        isAllowed(worker) &&
        worker.service === step.queue.service &&
        hasLabel(worker, step.step.label) &&
        fits(worker.eventuallyFree, demand),
    );
  }

  private listPreferred(step: ReadyStep): readonly PlannedWorker[] {
    return this.findKind(step).eligible;
  }

  /** Finds the kind of the step without a text for its key, which would be built for every step of a round. */
  private findKind(step: ReadyStep): StepKind {
    const { queue } = step;
    const { label, gang } = step.step;
    const byService = queue.priority === 0 || gang ? this.kinds.strict : this.kinds.other;
    let byLabel = byService.get(queue.service);
    if (byLabel === undefined)
      byService.set(queue.service, (byLabel = new Map<string, StepKind>()));
    let kind = byLabel.get(label);
    if (kind === undefined) {
      const eligible = this.startableWorkers.filter((worker) => canRunOn(step, worker));
      byLabel.set(label, (kind = { eligible, sorted: undefined, bound: undefined }));
    }
    return kind;
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
   * most steps of a full cell. It considers only an upper bound of the free processor capacity, and no advice.
   */
  mayFit(step: ReadyStep, demand: Capacity, tasks: number): boolean {
    if (demand.millicores === 0) return true;
    const { freeMillicores } = this.sortByBound(step);
    let remainingTasks = tasks;
    for (const free of freeMillicores) {
      if (free < demand.millicores) return false;
      remainingTasks -= Math.floor(free / demand.millicores);
      if (remainingTasks <= 0) return true;
    }
    return false;
  }

  /** Lists the eligible workers that have room for a task now, in any order, whether or not advice allows them. */
  listWithRoom(step: ReadyStep, demand: Capacity): readonly PlannedWorker[] {
    const { workers, freeMillicores } = this.sortByBound(step);
    const withRoom: PlannedWorker[] = [];
    for (const [position, worker] of workers.entries()) {
      if ((freeMillicores[position] ?? 0) < demand.millicores) break;
      if (fits(worker.free, demand)) withRoom.push(worker);
    }
    return withRoom;
  }

  /** Counts starts that the round has planned: the workers have less free capacity now. */
  countStarts(starts: number): void {
    this.starts += starts;
  }

  /** Lists the eligible workers with upper bounds of their free processor capacity, the highest first. */
  private sortByBound(step: ReadyStep): WorkersByFreeCpu {
    if (this.lastResorts.length > 0) return this.sortByFreeCpu(step);
    const kind = this.findKind(step);
    kind.sorted ??= sortWorkers(kind.eligible);
    if (this.starts < STARTS_PER_SORT) return kind.sorted;
    if (kind.bound === undefined || this.starts - kind.bound.starts >= STARTS_PER_SORT)
      kind.bound = { sorted: sortByFreeNow(kind.eligible), starts: this.starts };
    return kind.bound.sorted;
  }

  private sortByFreeCpu(step: ReadyStep): WorkersByFreeCpu {
    const kind = this.findKind(step);
    const lastResorts = this.listLastResorts(step, kind.eligible);
    if (lastResorts.length > 0) return sortWorkers([...kind.eligible, ...lastResorts]);
    return (kind.sorted ??= sortWorkers(kind.eligible));
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
    if (this.lastResorts.length > 0)
      for (const worker of this.listLastResorts(step, this.listPreferred(step)))
        if (step.advice.allowed.has(worker.id)) allowed.push(worker);
    return allowed;
  }
}

function sortWorkers(workers: readonly PlannedWorker[]): WorkersByFreeCpu {
  const sorted = [...workers].sort(
    (left, right) => right.free.millicores - left.free.millicores || (left.id < right.id ? -1 : 1),
  );
  return {
    workers: sorted,
    freeMillicores: Float64Array.from(sorted, (worker) => worker.free.millicores),
  };
}

/**
 * Sorts the workers by free processor capacity, in any order where it is equal. Numbers that carry the position of a
 * worker in their last digits sort several times faster than the workers.
 */
function sortByFreeNow(workers: readonly PlannedWorker[]): WorkersByFreeCpu {
  const count = workers.length;
  const codes = new Float64Array(count);
  for (let position = 0; position < count; position += 1) {
    // An overloaded worker has less than nothing free; a bound of 0 holds for it as well.
    const bound = Math.max(0, Math.ceil(workers[position]?.free.millicores ?? 0));
    codes[position] = bound * count + position;
  }
  codes.sort().reverse();
  const sorted: PlannedWorker[] = [];
  for (let rank = 0; rank < count; rank += 1) {
    const code = codes[rank] ?? 0;
    const worker = workers[code % count];
    if (worker !== undefined) sorted.push(worker);
    codes[rank] = Math.floor(code / count);
  }
  return { workers: sorted, freeMillicores: codes };
}
