import { vectors } from './vectors.js';
import type { WorkerRecord } from './worker-record.js';

/** Number of ranges of free processors, and of free memory. */
const BUCKETS_PER_AXIS = 32;
/** Width of the lowest 8 ranges, in millicores and MiB; above them, each doubling has 4 ranges. */
const MILLICORES_UNIT = 250;
const MEMORY_UNIT = 512;
/** Workers examined in one bucket, so that a search does not grow with the number of workers. */
const CANDIDATES_PER_BUCKET = 6;

function computeBucket(amount: number, unit: number): number {
  const units = Math.floor(amount / unit);
  if (units < 8) return Math.max(0, units);
  const doublings = 31 - Math.clz32(units);
  const quarter = (units >> (doublings - 2)) & 3;
  return Math.min(BUCKETS_PER_AXIS - 1, 8 + 4 * (doublings - 3) + quarter);
}

/**
 * Index of workers by free processors and free memory. A row holds the buckets of one range of free
 * processors; a bit mask per row marks its non-empty buckets, one for each range of free memory. A
 * search visits at most 32 rows and a few workers per bucket, independent of the number of workers.
 */
export class CandidateIndex {
  static create(): CandidateIndex {
    return new CandidateIndex(
      Array.from({ length: BUCKETS_PER_AXIS * BUCKETS_PER_AXIS }, () => []),
    );
  }

  private readonly columnMasks = new Int32Array(BUCKETS_PER_AXIS);
  private cursor = 0;

  private constructor(private readonly buckets: WorkerRecord[][]) {}

  /** Moves the worker to the bucket of its free capacity. */
  update(worker: WorkerRecord): void {
    const row = computeBucket(vectors.at(worker.free, 0), MILLICORES_UNIT);
    const column = computeBucket(vectors.at(worker.free, 1), MEMORY_UNIT);
    const bucket = row * BUCKETS_PER_AXIS + column;
    if (worker.bucket === bucket) return;
    this.remove(worker);
    const members = this.buckets[bucket];
    if (members === undefined) return;
    worker.bucket = bucket;
    worker.bucketPosition = members.length;
    members.push(worker);
    this.columnMasks[row] = (this.columnMasks[row] ?? 0) | (1 << column);
  }

  remove(worker: WorkerRecord): void {
    if (worker.bucket < 0) return;
    const members = this.buckets[worker.bucket];
    const last = members?.pop();
    if (members !== undefined && last !== undefined && last !== worker) {
      members[worker.bucketPosition] = last;
      last.bucketPosition = worker.bucketPosition;
    }
    if (members?.length === 0) {
      const row = Math.floor(worker.bucket / BUCKETS_PER_AXIS);
      this.columnMasks[row] =
        (this.columnMasks[row] ?? 0) & ~(1 << (worker.bucket % BUCKETS_PER_AXIS));
    }
    worker.bucket = -1;
  }

  /**
   * Returns the fitting worker with the lowest score, or null when none fits. Searches the buckets in
   * ascending order of free capacity and stops after the one in which `maxFitting` fitting workers are reached.
   */
  find(
    demand: readonly number[],
    maxFitting: number,
    score: (worker: WorkerRecord) => number,
  ): WorkerRecord | null {
    const firstRow = computeBucket(vectors.at(demand, 0), MILLICORES_UNIT);
    const columns = -1 << computeBucket(vectors.at(demand, 1), MEMORY_UNIT);
    let best: WorkerRecord | null = null;
    let bestScore = Infinity;
    let fittingCount = 0;
    for (let row = firstRow; row < BUCKETS_PER_AXIS; row += 1) {
      let mask = (this.columnMasks[row] ?? 0) & columns;
      while (mask !== 0) {
        const column = 31 - Math.clz32(mask & -mask);
        mask &= mask - 1;
        const members = this.buckets[row * BUCKETS_PER_AXIS + column] ?? [];
        const examined = Math.min(members.length, CANDIDATES_PER_BUCKET);
        // The cursor advances, so that repeated searches examine every worker of a large bucket.
        this.cursor += examined;
        for (let i = 0; i < examined; i += 1) {
          const worker = members[(this.cursor + i) % members.length];
          if (worker === undefined || !vectors.fits(demand, worker.free)) continue;
          fittingCount += 1;
          const candidateScore = score(worker);
          if (candidateScore >= bestScore) continue;
          bestScore = candidateScore;
          best = worker;
        }
        if (fittingCount >= maxFitting) return best;
      }
    }
    return best;
  }
}
