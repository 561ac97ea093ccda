import type { Clock } from '@acaciahoist/clock';
import { ImageInterference } from './image-interference.js';
import { WorkerSpeeds } from './worker-speeds.js';

/** Outcome of one run on a worker. */
interface Sample {
  atMs: number;
  /** 1 for a failed run, 0 for a successful one. */
  failureCount: number;
  /** Difference between the speed of the run and that of its queue; undefined for a failed run. */
  speedDifference: SpeedDifference | undefined;
}

/** Difference between the speed of one run and the usual one of its queue; positive for a slow run. */
interface SpeedDifference {
  /** Logarithm of the ratio of the run time to the usual one. */
  logRatio: number;
  /** The same in units of the queue's standard deviation (z-score). */
  deviations: number;
}

/** Usual speed of the runs of a queue: mean and deviation of the logarithm of run time to estimate. */
interface QueueSpeed {
  meanLogRatio: number;
  deviation: number;
}

/** Ejection of a worker; from `untilMs` on the worker is on probation. */
interface Ejection {
  reason: 'failing' | 'slow' | 'stalled';
  untilMs: number;
  durationMs: number;
}

/** Samples older than this in ms are not used. */
const SAMPLE_WINDOW_MS = 8_000;
/** Minimum number of failed runs for which a worker is ejected as failing. */
const MIN_FAILURES = 3;
/** Minimum number of recorded speeds for which a worker is ejected as slow. */
const MIN_SPEEDS = 2;
/**
 * Number of standard deviations from which a worker counts as slow. The ratios to rough estimates are skewed,
 * so 3 would be too few.
 */
const SLOW_DEVIATIONS = 5;
/** Number of standard deviations from which a single run on probation counts as slow. */
const PROBATION_DEVIATIONS = 2;
/** Lower bound on the deviation of a queue, which is almost 0 after few runs or with exact estimates. */
const MIN_DEVIATION = 0.25;
/** Deviation that is assumed for a queue without runs. */
const INITIAL_DEVIATION = 0.6;
/** Ratio of the standard deviation to the mean absolute deviation of a normal distribution. */
const STANDARD_PER_MEAN_DEVIATION = 1.25;
/** Minimum share of failed runs for which a worker is ejected as failing. */
const FAILING_SHARE = 0.5;
/** The share of failed runs must also be at least this multiple of that on all other workers. */
const FAILING_FACTOR = 3;
/** Multiple of the queue's usual run time from which a run counts as slow. */
const SLOW_FACTOR = 1.8;
/** Weight of a new run in the moving averages of a queue's speed. */
const LEARNING_RATE = 0.05;
/** Time in ms for which a worker is ejected; doubles with each failed probation. */
const EJECTION_MS = 2_500;
/** Maximum time in ms for which a worker is ejected. */
const MAX_EJECTION_MS = 10_000;
/**
 * Maximum time in ms on probation. It may pass without a result, because the cell has no run to try there or
 * because a long-running one has no end.
 */
const MAX_PROBATION_MS = 20_000;
/**
 * Maximum share of workers that may be ejected or on probation. When more of them look faulty, the workers are
 * not the cause.
 */
const MAX_EJECTED_SHARE = 0.35;

/**
 * Outlier ejection: ejects workers whose runs fail, stall or are slow in comparison with those of the other
 * workers, and tries them again on probation, with one task at a time. Load pattern: workers that report
 * themselves as healthy while their runs fail, stall or are slow. A worker whose runs fail at once is the
 * first to have free capacity again and would get the most work.
 */
export class WorkerHealth {
  static create(clock: Clock): WorkerHealth {
    return new WorkerHealth(clock);
  }

  /** Speeds of the workers, which differ where the hardware does. */
  readonly speeds = WorkerSpeeds.create();
  /** Images whose runs slow each other down on one worker. */
  readonly imageInterference: ImageInterference;
  private readonly samples = new Map<string, Sample[]>();
  private readonly ejections = new Map<string, Ejection>();
  private readonly queueSpeeds = new Map<string, QueueSpeed>();
  /** Worker against which the first failure of a job was counted, by job. */
  private readonly countedFailures = new Map<string, Set<string>>();

  private constructor(private readonly clock: Clock) {
    this.imageInterference = ImageInterference.create(clock);
  }

  /** `full`: gets any task. `probation`: gets one task at a time. `ejected`: gets none. */
  fitnessOf(worker: string): 'full' | 'probation' | 'ejected' {
    const ejection = this.ejections.get(worker);
    if (ejection === undefined) return 'full';
    const probationMs = this.clock.monotonicMs() - ejection.untilMs;
    if (probationMs < 0) return 'ejected';
    return probationMs < MAX_PROBATION_MS ? 'probation' : 'full';
  }

  /**
   * Whether the worker may get a start: not while it is ejected, and on probation not while one of `runs`, its
   * runs, is the one that tries it. Runs that began before the probation have no part in it.
   */
  mayGetStarts(worker: string, runs: Iterable<{ trackedSinceMs: number }>): boolean {
    const fitness = this.fitnessOf(worker);
    return fitness === 'full' || (fitness === 'probation' && this.mayGetTrial(worker, runs));
  }

  /**
   * Whether a worker that is ejected or on probation could get a run that tries it: not while one of `runs`, its
   * runs, is such a one. An ejected worker gets one only as a last resort.
   */
  mayGetTrial(worker: string, runs: Iterable<{ trackedSinceMs: number }>): boolean {
    const fitness = this.fitnessOf(worker);
    const ejection = this.ejections.get(worker);
    if (fitness === 'full' || ejection === undefined) return false;
    const { untilMs, durationMs } = ejection;
    const sinceMs = fitness === 'probation' ? untilMs : untilMs - durationMs;
    for (const { trackedSinceMs } of runs) if (trackedSinceMs >= sinceMs) return false;
    return true;
  }

  /** Returns why the worker is ejected or on probation; undefined when it is neither. */
  reasonOf(worker: string): string | undefined {
    return this.ejections.get(worker)?.reason;
  }

  /**
   * Records that a run takes `ratio` times its estimate, as its progress or its end shows. Must be called at
   * most once for each run. Returns true when the worker is newly ejected.
   */
  recordSpeed(worker: string, queue: string, ratio: number): boolean {
    const logRatio = Math.log(Math.max(0.01, ratio));
    const queueSpeed = this.queueSpeeds.get(queue) ?? {
      meanLogRatio: logRatio,
      deviation: INITIAL_DEVIATION,
    };
    const logDifference = logRatio - queueSpeed.meanLogRatio;
    const deviations = logDifference / Math.max(MIN_DEVIATION, queueSpeed.deviation);
    // Bounds the influence of one run, so that a slow worker does not shift the usual speed of its queue.
    const boundedDifference = Math.max(-1, Math.min(1, logDifference));
    this.queueSpeeds.set(queue, {
      meanLogRatio: queueSpeed.meanLogRatio + boundedDifference * LEARNING_RATE,
      deviation:
        queueSpeed.deviation +
        (Math.abs(boundedDifference) * STANDARD_PER_MEAN_DEVIATION - queueSpeed.deviation) *
          LEARNING_RATE,
    });
    this.addSample(worker, {
      failureCount: 0,
      speedDifference: { logRatio: logDifference, deviations },
    });
    return this.evaluate(worker);
  }

  /**
   * Records a failed run; returns true when the worker is newly ejected. Only the first failure of a job
   * counts, against the worker on which it happened, so that a job that fails everywhere does not eject
   * one worker after another.
   */
  recordFailure(worker: string, job: string): boolean {
    const workers = this.countedFailures.get(job) ?? new Set<string>();
    this.countedFailures.set(job, workers);
    if (workers.size > 0) return false;
    workers.add(worker);
    this.addSample(worker, { failureCount: 1, speedDifference: undefined });
    return this.evaluate(worker);
  }

  /**
   * Records that a run on the worker makes no progress; returns true when the worker is newly ejected.
   */
  recordStall(worker: string): boolean {
    return this.eject(worker, 'stalled');
  }

  forgetWorker(worker: string): void {
    this.samples.delete(worker);
    this.ejections.delete(worker);
    this.speeds.forgetWorker(worker);
  }

  forgetJob(job: string): void {
    this.countedFailures.delete(job);
  }

  private addSample(worker: string, sample: Omit<Sample, 'atMs'>): void {
    const atMs = this.clock.monotonicMs();
    const recentSamples = (this.samples.get(worker) ?? []).filter(
      (candidate) => candidate.atMs > atMs - SAMPLE_WINDOW_MS,
    );
    recentSamples.push({ ...sample, atMs });
    this.samples.set(worker, recentSamples);
  }

  /** Ejects or readmits a worker by its recent runs; returns true when it is newly ejected. */
  private evaluate(worker: string): boolean {
    const samples = this.samples.get(worker) ?? [];
    const lastSample = samples[samples.length - 1];
    // Also after a probation that had no result.
    const isOnTrial = this.ejections.has(worker) && this.fitnessOf(worker) !== 'ejected';
    if (lastSample !== undefined && isOnTrial) {
      const isSlow =
        lastSample.speedDifference !== undefined &&
        lastSample.speedDifference.logRatio >= Math.log(SLOW_FACTOR) &&
        lastSample.speedDifference.deviations >= PROBATION_DEVIATIONS;
      if (lastSample.failureCount === 0 && !isSlow) {
        this.readmit(worker);
        return false;
      }
      return this.eject(worker, isSlow ? 'slow' : 'failing');
    }
    const failures = samples.reduce((sum, sample) => sum + sample.failureCount, 0);
    const failureShare = failures / samples.length;
    if (
      failures >= MIN_FAILURES &&
      failureShare >= FAILING_SHARE &&
      failureShare >= FAILING_FACTOR * this.computeFailureShareOfOthers(worker)
    )
      return this.eject(worker, 'failing');
    const speedDifferences = samples.flatMap((sample) => sample.speedDifference ?? []);
    if (speedDifferences.length < MIN_SPEEDS) return false;
    const meanLogRatio =
      speedDifferences.reduce((sum, difference) => sum + difference.logRatio, 0) /
      speedDifferences.length;
    // The sum of n independent z-scores has the standard deviation √n (Stouffer's method).
    const deviations = speedDifferences.reduce((sum, difference) => sum + difference.deviations, 0);
    const isSlow =
      meanLogRatio >= Math.log(SLOW_FACTOR) &&
      deviations / Math.sqrt(speedDifferences.length) >= SLOW_DEVIATIONS;
    return isSlow && this.eject(worker, 'slow');
  }

  /** Returns the share of failed runs on all workers but this one. */
  private computeFailureShareOfOthers(worker: string): number {
    let failures = 0;
    let runs = 0;
    for (const [otherWorker, samples] of this.samples) {
      if (otherWorker === worker) continue;
      runs += samples.length;
      failures += samples.reduce((sum, sample) => sum + sample.failureCount, 0);
    }
    return runs === 0 ? 0 : failures / runs;
  }

  /**
   * Ejects a worker. Returns false when it is ejected already, or when too many others are ejected or on
   * probation.
   */
  private eject(worker: string, reason: Ejection['reason']): boolean {
    const previous = this.ejections.get(worker);
    if (previous !== undefined && this.fitnessOf(worker) === 'ejected') return false;
    const isEjectionLimitReached =
      this.ejections.size >= Math.max(1, this.samples.size * MAX_EJECTED_SHARE);
    if (previous === undefined && isEjectionLimitReached) return false;
    const durationMs =
      previous === undefined ? EJECTION_MS : Math.min(MAX_EJECTION_MS, previous.durationMs * 2);
    this.ejections.set(worker, {
      reason,
      durationMs,
      untilMs: this.clock.monotonicMs() + durationMs,
    });
    return true;
  }

  private readmit(worker: string): void {
    this.ejections.delete(worker);
    this.samples.delete(worker);
  }
}
