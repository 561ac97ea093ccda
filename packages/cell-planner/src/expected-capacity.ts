import type { Capacity } from './capacity.js';
import type { PlannedRun } from './planned-run.js';
import type { PlannedWorker } from './planned-worker.js';

/** Numbers of a run in the table of runs: its end, the position of its worker and its capacity. */
const ROW_LENGTH = 5;

/**
 * Capacity of workers that is free once the runs that end until some time have ended. The runs lie in one table of
 * numbers, because a search reads them many times.
 */
export class ExpectedCapacity {
  /** Considers the runs that end within `maxWaitMs`. */
  static create(
    workers: readonly PlannedWorker[],
    listRuns: (worker: PlannedWorker) => readonly PlannedRun[],
    maxWaitMs: number,
  ): ExpectedCapacity {
    const runsByWorker = workers.map(listRuns);
    const runCount = runsByWorker.reduce((sum, runs) => sum + runs.length, 0);
    const table = new Float64Array(runCount * ROW_LENGTH);
    let length = 0;
    for (const [position, runs] of runsByWorker.entries()) {
      for (const { endsInMs, usedCapacity } of runs) {
        if (endsInMs > maxWaitMs) continue;
        table[length] = endsInMs;
        table[length + 1] = position;
        table[length + 2] = usedCapacity.millicores;
        table[length + 3] = usedCapacity.memoryMib;
        table[length + 4] = usedCapacity.accelerators;
        length += ROW_LENGTH;
      }
    }
    return new ExpectedCapacity(workers, table.subarray(0, length));
  }

  /** Expected capacity of each worker, in the order of the workers. */
  readonly capacities: readonly Capacity[];

  private constructor(
    private readonly workers: readonly PlannedWorker[],
    private readonly table: Float64Array,
  ) {
    this.capacities = workers.map(({ free }) => ({ ...free }));
  }

  /** Lists the ends of the runs in ms from now, the earliest first. */
  listEnds(): Float64Array {
    const ends = new Float64Array(this.table.length / ROW_LENGTH);
    for (let run = 0; run < ends.length; run += 1) ends[run] = this.table[run * ROW_LENGTH] ?? 0;
    return ends.sort();
  }

  /** Sets the capacities to those that are free once the runs that end until then have ended. */
  moveTo(atMs: number): void {
    const { table, capacities } = this;
    for (const [position, { free }] of this.workers.entries()) {
      const capacity = capacities[position];
      if (capacity === undefined) continue;
      capacity.millicores = free.millicores;
      capacity.memoryMib = free.memoryMib;
      capacity.accelerators = free.accelerators;
    }
    for (let row = 0; row < table.length; row += ROW_LENGTH) {
      if ((table[row] ?? 0) > atMs) continue;
      const capacity = capacities[table[row + 1] ?? 0];
      if (capacity === undefined) continue;
      capacity.millicores += table[row + 2] ?? 0;
      capacity.memoryMib += table[row + 3] ?? 0;
      capacity.accelerators += table[row + 4] ?? 0;
    }
  }
}
