import type { Clock } from '@acaciahoist/clock';

interface Sample {
  atMs: number;
  /** 1 for a failed run, 0 for one that ended well. */
  failed: number;
  /** Run time against the cell's usual one for the queue; undefined when it says nothing. */
  slowness: number | undefined;
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
/** A worker fails when this share of its runs fails, and that share is this multiple of the cell's. */
const FAILING_SHARE = 0.5;
const FAILING_FACTOR = 3;
/** A worker is slow when its runs take this multiple of the cell's usual time. */
const SLOW_FACTOR = 2.2;
/** Weight of a new run in the usual ratio of run time to estimate of a queue. */
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
  /** Usual ratio of run time to estimate by queue. */
  private readonly usualRatio = new Map<string, number>();
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

  /** A run ended well after `ratio` times its estimate. True when the worker is newly judged slow. */
  succeeded(worker: string, queue: string, ratio: number): boolean {
    const usual = this.usualRatio.get(queue) ?? ratio;
    const slowness = ratio / Math.max(0.01, usual);
    // A slow worker must not become the measure of the others.
    const learned = Math.min(ratio, usual * SLOW_FACTOR);
    this.usualRatio.set(queue, usual + (learned - usual) * LEARNING_RATE);
    this.add(worker, { failed: 0, slowness });
    if (slowness < SLOW_FACTOR) {
      const wasOut = this.ailments.get(worker);
      if (wasOut !== undefined && this.fitness(worker) === 'probation') this.recover(worker);
      return false;
    }
    return this.judge(worker);
  }

  /** True when a run that takes `ratio` times its estimate is slow for its queue. */
  isSlow(queue: string, ratio: number): boolean {
    const usual = this.usualRatio.get(queue);
    return usual !== undefined && ratio / usual >= SLOW_FACTOR;
  }

  /** The progress of a run shows that it is slow. To be called once a run. */
  slowed(worker: string): boolean {
    this.add(worker, { failed: 0, slowness: SLOW_FACTOR });
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
    const failures = own.reduce((sum, sample) => sum + sample.failed, 0);
    const isOnProbation = this.fitness(worker) === 'probation';
    const last = own[own.length - 1];
    if (isOnProbation && last !== undefined) {
      const isBad = last.failed === 1 || (last.slowness ?? 0) >= SLOW_FACTOR;
      return isBad && this.takeOut(worker, last.failed === 1 ? 'failing' : 'slow');
    }
    const share = failures / own.length;
    if (
      failures >= MIN_FAILURES &&
      share >= FAILING_SHARE &&
      share >= FAILING_FACTOR * this.failingShareOfOthers(worker)
    )
      return this.takeOut(worker, 'failing');
    const slow = own.filter((sample) => (sample.slowness ?? 0) >= SLOW_FACTOR).length;
    const measured = own.filter((sample) => sample.slowness !== undefined).length;
    if (slow >= MIN_SLOW && slow / measured > FAILING_SHARE) return this.takeOut(worker, 'slow');
    return false;
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
