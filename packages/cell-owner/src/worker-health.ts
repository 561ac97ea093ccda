import type { Clock } from '@acaciahoist/clock';

interface Sample {
  atMs: number;
  /** 1 for a failed run, 0 for one that ended well. */
  failed: number;
  /** How far the speed of the run is from that of its queue; undefined when it was not measured. */
  slowness: Slowness | undefined;
}

interface Slowness {
  /** Logarithm of the run time against the usual one. */
  log: number;
  /** The same in units of the queue's usual deviation. */
  deviations: number;
}

/** Logarithm of the ratio of run time to estimate that is usual for a queue. */
interface UsualSpeed {
  mean: number;
  deviation: number;
}

interface Ailment {
  reason: 'failing' | 'slow' | 'stalled';
  outUntilMs: number;
  outMs: number;
}

/** Samples older than this in ms say nothing about a worker any more. */
const WINDOW_MS = 8_000;
/** Fewest samples for a verdict. */
const MIN_FAILURES = 3;
const MIN_SLOW = 2;
/** Deviations that make a verdict of slowness; the ratios of rough estimates are skewed, so 3 are few. */
const SLOW_DEVIATIONS = 5;
/** Deviations that a single run on probation must exceed to count as slow. */
const PROBATION_DEVIATIONS = 2;
/** Least deviation that is assumed for a queue: few runs, or estimates that are exact, show none. */
const MIN_DEVIATION = 0.25;
const FIRST_DEVIATION = 0.6;
/** Standard deviation in units of the mean absolute one, for a normal distribution. */
const STANDARD_PER_MEAN = 1.25;
/** A worker fails when this share of its runs fails, and that share is this multiple of the cell's. */
const FAILING_SHARE = 0.5;
const FAILING_FACTOR = 3;
/** Least multiple of the cell's usual run time that counts as slow. */
const SLOW_FACTOR = 1.8;
/** Weight of a new run in the usual speed of a queue. */
const LEARNING_RATE = 0.05;
/** Time in ms for which a worker is out; doubles with each failed probation. */
const OUT_MS = 2_500;
const MAX_OUT_MS = 10_000;
/** Least number of workers that stay in, as a share of all: a verdict on most of them is a wrong one. */
const MAX_OUT_SHARE = 0.35;

/**
 * Load pattern: workers that fail, stall or slow down everything they run while they look healthy. They
 * free their room quickest and would draw the most work. Judges each worker by its own runs against
 * those of the cell, takes it out, and tries it again with one task at a time.
 */
export class WorkerHealth {
  static create(clock: Clock): WorkerHealth {
    return new WorkerHealth(clock);
  }

  private readonly samples = new Map<string, Sample[]>();
  private readonly ailments = new Map<string, Ailment>();
  private readonly usual = new Map<string, UsualSpeed>();
  private readonly blamed = new Map<string, Set<string>>();

  private constructor(private readonly clock: Clock) {}

  /** `full`: takes any work. `probation`: one task at a time. `out`: none. */
  fitness(worker: string): 'full' | 'probation' | 'out' {
    const ailment = this.ailments.get(worker);
    if (ailment === undefined) return 'full';
    return this.clock.monotonicMs() < ailment.outUntilMs ? 'out' : 'probation';
  }

  reasonOf(worker: string): string | undefined {
    return this.ailments.get(worker)?.reason;
  }

  /**
   * A run takes `ratio` times its estimate, by its progress or its end. To be called once a run. True
   * when the worker is newly judged slow.
   */
  measured(worker: string, queue: string, ratio: number): boolean {
    const log = Math.log(Math.max(0.01, ratio));
    const usual = this.usual.get(queue) ?? { mean: log, deviation: FIRST_DEVIATION };
    const away = log - usual.mean;
    const deviations = away / Math.max(MIN_DEVIATION, usual.deviation);
    // A slow worker must not become the measure of the others.
    const learned = Math.max(-1, Math.min(1, away));
    this.usual.set(queue, {
      mean: usual.mean + learned * LEARNING_RATE,
      deviation:
        usual.deviation + (Math.abs(learned) * STANDARD_PER_MEAN - usual.deviation) * LEARNING_RATE,
    });
    this.add(worker, { failed: 0, slowness: { log: away, deviations } });
    return this.judge(worker);
  }

  /**
   * A run failed. Of each job only one failure counts against a worker, and only the first worker on
   * which the job fails is blamed, so that a job that fails everywhere does not put workers out.
   */
  failed(worker: string, job: string): boolean {
    const blamed = this.blamed.get(job) ?? new Set<string>();
    this.blamed.set(job, blamed);
    if (blamed.size > 0) return false;
    blamed.add(worker);
    this.add(worker, { failed: 1, slowness: undefined });
    return this.judge(worker);
  }

  /** A run on the worker makes no progress at all. */
  stalled(worker: string): boolean {
    return this.takeOut(worker, 'stalled');
  }

  forgetWorker(worker: string): void {
    this.samples.delete(worker);
    this.ailments.delete(worker);
  }

  forgetJob(job: string): void {
    this.blamed.delete(job);
  }

  private add(worker: string, sample: Omit<Sample, 'atMs'>): void {
    const atMs = this.clock.monotonicMs();
    const kept = (this.samples.get(worker) ?? []).filter((old) => old.atMs > atMs - WINDOW_MS);
    kept.push({ ...sample, atMs });
    this.samples.set(worker, kept);
  }

  private judge(worker: string): boolean {
    const own = this.samples.get(worker) ?? [];
    const last = own[own.length - 1];
    if (last !== undefined && this.fitness(worker) === 'probation') {
      const isSlow =
        last.slowness !== undefined &&
        last.slowness.log >= Math.log(SLOW_FACTOR) &&
        last.slowness.deviations >= PROBATION_DEVIATIONS;
      if (last.failed === 0 && !isSlow) {
        this.recover(worker);
        return false;
      }
      return this.takeOut(worker, isSlow ? 'slow' : 'failing');
    }
    const failures = own.reduce((sum, sample) => sum + sample.failed, 0);
    const share = failures / own.length;
    if (
      failures >= MIN_FAILURES &&
      share >= FAILING_SHARE &&
      share >= FAILING_FACTOR * this.failingShareOfOthers(worker)
    )
      return this.takeOut(worker, 'failing');
    const speeds = own.flatMap((sample) => sample.slowness ?? []);
    if (speeds.length < MIN_SLOW) return false;
    const log = speeds.reduce((sum, speed) => sum + speed.log, 0) / speeds.length;
    const deviations = speeds.reduce((sum, speed) => sum + speed.deviations, 0);
    const isSlow =
      log >= Math.log(SLOW_FACTOR) && deviations / Math.sqrt(speeds.length) >= SLOW_DEVIATIONS;
    return isSlow && this.takeOut(worker, 'slow');
  }

  private failingShareOfOthers(worker: string): number {
    let failures = 0;
    let runs = 0;
    for (const [other, samples] of this.samples) {
      if (other === worker) continue;
      runs += samples.length;
      failures += samples.reduce((sum, sample) => sum + sample.failed, 0);
    }
    return runs === 0 ? 0 : failures / runs;
  }

  private takeOut(worker: string, reason: Ailment['reason']): boolean {
    const before = this.ailments.get(worker);
    if (before !== undefined && this.fitness(worker) === 'out') return false;
    const isTooMany = this.ailments.size >= Math.max(1, this.samples.size * MAX_OUT_SHARE);
    if (before === undefined && isTooMany) return false;
    const outMs = before === undefined ? OUT_MS : Math.min(MAX_OUT_MS, before.outMs * 2);
    this.ailments.set(worker, {
      reason,
      outMs,
      outUntilMs: this.clock.monotonicMs() + outMs,
    });
    return true;
  }

  private recover(worker: string): void {
    this.ailments.delete(worker);
    this.samples.delete(worker);
  }
}
