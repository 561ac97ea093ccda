import { median } from './median.js';

/** Ratios of the newest ends on one worker. */
interface WorkerRatios {
  /** Logarithms of the ratios, oldest first. */
  logRatios: number[];
  /** Steps of the runs, in the same order. */
  steps: string[];
  /** Incarnation of the worker: its start as Unix ms. */
  born: number;
  /** Median of the logarithms, and the variance of its error. */
  median: number;
  errorVariance: number;
}

/** Number of newest ends of a worker from which its speed is computed. */
const MAX_RATIOS = 16;
/** Number of ends of a worker below which its speed is unknown. */
const MIN_RATIOS = 4;
/** Number of newest ends of an image of which the median is taken. */
const MAX_GROUP_ENDS = 256;
/** Number of ends of an image before its median is compared with. */
const MIN_GROUP_ENDS = 8;
/** Maximum number of images; the one without an end for the longest time is forgotten beyond it. */
const MAX_GROUPS = 64;
/** The speeds are computed again after one change for so many workers, not in each planning round of a large cell. */
const WORKERS_PER_CHANGE = 8;
const MIN_SPEED = 0.25;
const MAX_SPEED = 4;
/** Ratio of the highest to the lowest speed, without a tenth of the workers at each end, up to which all count as equal. */
const EQUAL_RATIO = 1.1;
/** Standard error of the median of n values is this multiple of their standard deviation, divided by √n. */
const MEDIAN_ERROR_FACTOR = 1.2533;
/** Ratio of the standard deviation to the median absolute deviation of a normal distribution. */
const STANDARD_PER_MEDIAN_DEVIATION = 1.4826;
/** Number of standard errors by which the variance over workers must exceed that expected from chance. */
const CHANCE_FACTOR = 3;
/** Share of the expected variance that is added, because the deviation within a worker is rough. */
const CHANCE_MARGIN = 0.35;

/**
 * Learns the speed of each worker from the ends of its runs: 1 is the usual speed, 2 is twice as fast. Load pattern:
 * workers of different hardware. The median is used, so that one straggler does not change a speed. All speeds are
 * unknown while the workers differ by no more than the spread of the run times explains, so that chance does not
 * decide the placement in a cell of equal workers.
 */
export class WorkerSpeeds {
  static create(): WorkerSpeeds {
    return new WorkerSpeeds();
  }

  private readonly workers = new Map<string, WorkerRatios>();
  /** Ratios of duration to estimate of the newest ends of each image, oldest first. */
  private readonly groups = new Map<string, number[]>();
  private speeds = new Map<string, number>();
  /** Number of changes since `speeds` was computed. */
  private changeCount = 0;

  /**
   * Records the end of a run of the step that began on this incarnation of the worker. `group` is the image or
   * queue, and `ratio` that of the duration to the estimate. The tasks of a step share the error of its estimate, so
   * that a worker has one ratio of each step. Returns the logarithm of the ratio to the median of the group;
   * undefined while that is not known.
   */
  record(
    { worker, born, group, step }: { worker: string; born: number; group: string; step: string },
    ratio: number,
  ): number | undefined {
    const medianRatio = this.addToGroup(group, ratio);
    if (medianRatio === undefined) return undefined;
    const logRatio = Math.log(ratio / medianRatio);
    let entry = this.workers.get(worker);
    if (entry?.born !== born) {
      this.forgetWorker(worker);
      this.workers.set(worker, (entry = createEntry(born)));
    }
    if (entry.steps.includes(step)) return logRatio;
    entry.logRatios.push(logRatio);
    entry.steps.push(step);
    if (entry.logRatios.length > MAX_RATIOS) {
      entry.logRatios.shift();
      entry.steps.shift();
    }
    updateMedian(entry);
    this.changeCount += 1;
    return logRatio;
  }

  /** Forgets a worker whose incarnation has ended. */
  forgetWorker(worker: string): void {
    this.workers.delete(worker);
    this.speeds.delete(worker);
  }

  /** Returns the speed of this incarnation of the worker; undefined when it is unknown. */
  speedOf(worker: string, born: number): number | undefined {
    if (this.changeCount > this.workers.size / WORKERS_PER_CHANGE) {
      this.speeds = this.computeSpeeds();
      this.changeCount = 0;
    }
    return this.workers.get(worker)?.born === born ? this.speeds.get(worker) : undefined;
  }

  /** Adds an end to its group, and returns the median of the group once enough ends are known. */
  private addToGroup(group: string, ratio: number): number | undefined {
    const ratios = this.groups.get(group) ?? [];
    ratios.push(ratio);
    if (ratios.length > MAX_GROUP_ENDS) ratios.shift();
    // The insertion order of the map is the order of the newest ends.
    this.groups.delete(group);
    this.groups.set(group, ratios);
    const oldest = this.groups.keys().next().value;
    if (this.groups.size > MAX_GROUPS && oldest !== undefined) this.groups.delete(oldest);
    return ratios.length < MIN_GROUP_ENDS ? undefined : median(ratios);
  }

  private computeSpeeds(): Map<string, number> {
    const known = [...this.workers].filter(([, entry]) => entry.logRatios.length >= MIN_RATIOS);
    // The first workers with enough ends differ from the others by chance.
    if (known.length * 2 < this.workers.size) return new Map();
    const errorVariance =
      known.reduce((sum, [, entry]) => sum + entry.errorVariance, 0) / Math.max(1, known.length);
    if (
      !differ(
        known.map(([, entry]) => entry.median),
        errorVariance,
      )
    )
      return new Map();
    return new Map(
      known.map(([worker, entry]) => [
        worker,
        Math.min(MAX_SPEED, Math.max(MIN_SPEED, Math.exp(-entry.median))),
      ]),
    );
  }
}

function createEntry(born: number): WorkerRatios {
  return { logRatios: [], steps: [], born, median: 0, errorVariance: 0 };
}

function updateMedian(entry: WorkerRatios): void {
  const { logRatios } = entry;
  entry.median = median(logRatios);
  const deviation =
    STANDARD_PER_MEDIAN_DEVIATION *
    median(logRatios.map((value) => Math.abs(value - entry.median)));
  entry.errorVariance = (MEDIAN_ERROR_FACTOR * deviation) ** 2 / logRatios.length;
}

/** Returns whether the medians of the workers differ by more than their error variance explains. */
function differ(medians: readonly number[], errorVariance: number): boolean {
  const count = medians.length;
  if (count < 2) return false;
  const sorted = [...medians].sort((left, right) => left - right);
  const ignored = Math.floor(count / 10);
  const range = (sorted[count - 1 - ignored] ?? 0) - (sorted[ignored] ?? 0);
  if (range <= Math.log(EQUAL_RATIO)) return false;
  const mean = medians.reduce((sum, value) => sum + value, 0) / count;
  const variance = medians.reduce((sum, value) => sum + (value - mean) ** 2, 0) / (count - 1);
  const chanceLimit = 1 + CHANCE_MARGIN + CHANCE_FACTOR * Math.sqrt(2 / (count - 1));
  return variance > errorVariance * chanceLimit;
}
