import { CandidateIndex } from './candidate-index.js';
import { vectors } from './vectors.js';
import type { WorkerRecord } from './worker-record.js';
import type { WorkerSpec } from './worker-spec.js';

/** Fitting workers that one search in an index compares. */
const CANDIDATES_PER_SEARCH = 12;

/** All workers, with indexes over those that accept new tasks. */
export class WorkerTable {
  static create(reservePerMille: number): WorkerTable {
    return new WorkerTable(reservePerMille);
  }

  readonly byAddress = new Map<string, WorkerRecord>();
  /** The same workers in an array, for sampling with a cursor. */
  readonly workers: WorkerRecord[] = [];
  readonly workersByRack = new Map<string, WorkerRecord[]>();
  /** Names of the racks, alternating between data centres. */
  rackOrder: string[] = [];
  /** Sum of the capacity of all workers. */
  readonly totalCapacity: number[] = [];
  /** Distinct known worker capacities, with the number of workers that have each. */
  readonly capacityClasses = new Map<string, { capacity: readonly number[]; count: number }>();
  /** Workers that keep capacity free for urgent work. */
  urgentReserveWorkers: WorkerRecord[] = [];
  private readonly indexWithoutAccelerators = CandidateIndex.create();
  /** Indexes of workers with accelerators; the key has a 1 for each kind that the workers have, else 0. */
  private readonly indexesByAccelerators = new Map<string, CandidateIndex>();

  private constructor(private readonly reservePerMille: number) {}

  add(worker: WorkerRecord): void {
    this.byAddress.set(worker.address, worker);
    this.workers.push(worker);
    vectors.addTo(this.totalCapacity, worker.capacity);
    if (worker.isCapacityKnown) this.addCapacityClass(worker.capacity);
    this.updateRack(worker, true);
    this.assignUrgentReserve();
    this.refresh(worker);
  }

  remove(worker: WorkerRecord): void {
    this.getOrAddIndex(worker).remove(worker);
    this.byAddress.delete(worker.address);
    this.workers.splice(this.workers.indexOf(worker), 1);
    vectors.addTo(this.totalCapacity, worker.capacity, -1);
    const capacityClass = this.capacityClasses.get(worker.capacity.join());
    if (capacityClass !== undefined) capacityClass.count -= 1;
    if (capacityClass?.count === 0) this.capacityClasses.delete(worker.capacity.join());
    this.updateRack(worker, false);
    this.assignUrgentReserve();
  }

  /** Sets the place and the capacity of a worker whose capacity was unknown. */
  specify(worker: WorkerRecord, spec: WorkerSpec, capacity: readonly number[]): void {
    this.remove(worker);
    worker.specify(spec, capacity);
    this.add(worker);
  }

  /** Whether the capacity of a worker is known. */
  get hasKnownCapacity(): boolean {
    return this.capacityClasses.size > 0;
  }

  /** Recomputes the worker's free capacity and its position in the index after any change. */
  refresh(worker: WorkerRecord): void {
    for (let i = 0; i < worker.capacity.length; i += 1) {
      worker.free[i] =
        vectors.at(worker.capacity, i) -
        vectors.at(worker.used, i) -
        vectors.at(worker.reserved, i) -
        vectors.at(worker.urgentReserve, i);
    }
    const index = this.getOrAddIndex(worker);
    if (this.accepts(worker)) index.update(worker);
    else index.remove(worker);
  }

  /** Whether the worker accepts a new task; a worker that is probed gets the next one when its probe has ended. */
  accepts(worker: WorkerRecord): boolean {
    if (!worker.isCapacityKnown) return false;
    if (worker.state === 'active') return true;
    return worker.state === 'probing' && worker.probeTask === null;
  }

  /**
   * Returns the fitting worker with the lowest score among a bounded number of candidates, or null.
   * Workers with accelerators are tried last for tasks that need none.
   */
  find(demand: readonly number[], score: (worker: WorkerRecord) => number): WorkerRecord | null {
    const needsAccelerators = demand.length > 2 && demand.some((amount, i) => i > 1 && amount > 0);
    if (!needsAccelerators) {
      const worker = this.indexWithoutAccelerators.find(demand, CANDIDATES_PER_SEARCH, score);
      if (worker !== null) return worker;
    }
    for (const index of this.indexesByAccelerators.values()) {
      const worker = index.find(demand, CANDIDATES_PER_SEARCH, score);
      if (worker !== null) return worker;
    }
    return null;
  }

  /** Whether the demand fits at least one worker when it is idle. */
  fitsSomeWorker(demand: readonly number[]): boolean {
    for (const capacityClass of this.capacityClasses.values())
      if (vectors.fits(demand, capacityClass.capacity)) return true;
    return false;
  }

  /** Returns the index of workers with the same kinds of accelerators; adds it when it does not exist. */
  private getOrAddIndex(worker: WorkerRecord): CandidateIndex {
    if (worker.capacity.length <= 2) return this.indexWithoutAccelerators;
    const key = worker.capacity.map((amount, i) => (i > 1 && amount > 0 ? 1 : 0)).join('');
    const existing = this.indexesByAccelerators.get(key);
    if (existing !== undefined) return existing;
    const index = CandidateIndex.create();
    this.indexesByAccelerators.set(key, index);
    return index;
  }

  private addCapacityClass(capacity: readonly number[]): void {
    const key = capacity.join();
    const capacityClass = this.capacityClasses.get(key) ?? { capacity, count: 0 };
    capacityClass.count += 1;
    this.capacityClasses.set(key, capacityClass);
  }

  private updateRack(worker: WorkerRecord, isAdded: boolean): void {
    const name = worker.domains[2];
    const members = this.workersByRack.get(name) ?? [];
    if (isAdded) members.push(worker);
    else members.splice(members.indexOf(worker), 1);
    if (members.length === 0) this.workersByRack.delete(name);
    else this.workersByRack.set(name, members);
    if (members.length === 0 || (isAdded && members.length === 1)) this.orderRacks();
  }

  private orderRacks(): void {
    const byDataCentre = new Map<string, string[]>();
    for (const [name, members] of this.workersByRack) {
      const key = members[0]?.domains[1] ?? '';
      byDataCentre.set(key, [...(byDataCentre.get(key) ?? []), name]);
    }
    const groups = [...byDataCentre.values()];
    const maxRackCount = Math.max(0, ...groups.map((group) => group.length));
    this.rackOrder = [];
    for (let i = 0; i < maxRackCount; i += 1) {
      for (const group of groups) {
        const name = group[i];
        if (name !== undefined) this.rackOrder.push(name);
      }
    }
  }

  /** Iterates over workers without accelerators, one of each rack before the second of any. */
  private *iterateAcrossRacks(): Generator<WorkerRecord> {
    const maxWorkerCount = Math.max(
      0,
      ...[...this.workersByRack.values()].map((members) => members.length),
    );
    for (let i = 0; i < maxWorkerCount; i += 1) {
      for (const name of this.rackOrder) {
        const worker = this.workersByRack.get(name)?.[i];
        if (worker?.isCapacityKnown === true && worker.capacity.length === 2) yield worker;
      }
    }
  }

  /**
   * Sets the urgent reserve of the workers: a part of the total capacity, on as few workers as
   * possible, so that large tasks fit there.
   */
  private assignUrgentReserve(): void {
    const remainingReserve = this.totalCapacity.map((amount) =>
      Math.floor((amount * this.reservePerMille) / 1000),
    );
    const previous = this.urgentReserveWorkers;
    this.urgentReserveWorkers = [];
    for (const worker of previous) worker.urgentReserve = [];
    for (const worker of this.iterateAcrossRacks()) {
      const reserve = vectors.min(worker.capacity, remainingReserve).slice(0, 2);
      if (vectors.at(reserve, 0) <= 0 && vectors.at(reserve, 1) <= 0) break;
      worker.urgentReserve = reserve;
      vectors.addTo(remainingReserve, reserve, -1);
      this.urgentReserveWorkers.push(worker);
    }
    for (const worker of new Set([...previous, ...this.urgentReserveWorkers])) {
      if (this.byAddress.has(worker.address)) this.refresh(worker);
    }
  }
}
