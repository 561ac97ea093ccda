import type { Clock } from '@acaciahoist/clock';
import { RatioStatistic } from './ratio-statistic.js';

/** Ends of the runs of one image: with another image beside them, and without it. */
interface PairEnds {
  image: string;
  beside: string;
  together: RatioStatistic;
  apart: RatioStatistic;
  /** Monotonic time of the newest end of a run with the other image beside it. */
  lastTogetherAtMs: number;
}

/** Two images that are kept apart, because the runs of the first take longer beside the second. */
interface SlowPair {
  image: string;
  beside: string;
  /** Ratio of the run times of the first image beside the second to those without it. */
  ratio: number;
  /** Number of ends behind it. */
  ends: number;
}

/** Maximum number of images; the one without an end for the longest time is forgotten beyond it. */
const MAX_IMAGES = 64;
/** Maximum number of pairs that are kept apart, the worst ones. */
const MAX_SLOW_PAIRS = 16;
/** Minimum number of ends with, and without, the other image. */
const MIN_ENDS = 6;
/** Ratio of run times above which a pair is kept apart. */
const SLOW_RATIO = 1.3;
/** Number of standard errors by which the run times must differ: 4,096 pairs are compared. */
const MIN_ERRORS = 3;
/** Time in ms without a run beside the other image after which a pair is tried again: programs change. */
const RETRY_MS = 600_000;

/**
 * Learns which images slow each other down on one worker. Load pattern: batch tasks that compete for something other
 * than processors and memory, such as the memory bus. Compares the run times of an image, as ratios to its estimates,
 * with and without each other image beside it.
 */
export class ImageInterference {
  static create(clock: Clock): ImageInterference {
    return new ImageInterference(clock);
  }

  /** Ends by image, then by the image beside it. The insertion order is that of the newest ends. */
  private readonly ends = new Map<string, Map<string, PairEnds>>();
  private slowPairs: readonly SlowPair[] = [];
  /** All slow pairs, by the image that is slowed down. */
  private readonly slowPairsByImage = new Map<string, readonly SlowPair[]>();
  private partners: ReadonlyMap<string, ReadonlySet<string>> = new Map();

  private constructor(private readonly clock: Clock) {}

  /**
   * Records the end of a run of the step. `logRatio` compares its duration with the usual one of its image on its
   * worker; `together` has the images that were beside it all the time and `some` those that were there at any time.
   * Returns the pairs that are newly kept apart, and those that no longer are.
   */
  record(run: {
    image: string;
    step: string;
    logRatio: number;
    together: ReadonlySet<string>;
    some: ReadonlySet<string>;
  }): { added: readonly SlowPair[]; removed: readonly SlowPair[] } {
    const nowMs = this.clock.monotonicMs();
    const pairs = this.touch(run.image);
    for (const beside of run.some)
      if (!pairs.has(beside) && pairs.size < MAX_IMAGES)
        pairs.set(beside, createPair(run.image, beside, nowMs));
    for (const [beside, pair] of pairs) {
      if (nowMs - pair.lastTogetherAtMs > RETRY_MS) pairs.delete(beside);
      else if (run.together.has(beside)) {
        pair.together.add(run.logRatio, run.step);
        pair.lastTogetherAtMs = nowMs;
      } else if (!run.some.has(beside)) pair.apart.add(run.logRatio, run.step);
    }
    this.slowPairsByImage.set(
      run.image,
      [...pairs.values()].flatMap((pair) => toSlowPair(pair) ?? []),
    );
    return this.updateSlowPairs();
  }

  /** Returns the images from which each image is kept apart; empty when there are none. */
  listPartners(): ReadonlyMap<string, ReadonlySet<string>> {
    return this.partners;
  }

  /** Returns the ends of the image, which becomes the newest one. */
  private touch(image: string): Map<string, PairEnds> {
    const pairs = this.ends.get(image) ?? new Map<string, PairEnds>();
    this.ends.delete(image);
    this.ends.set(image, pairs);
    const oldest = this.ends.keys().next().value;
    if (this.ends.size > MAX_IMAGES && oldest !== undefined) {
      this.ends.delete(oldest);
      this.slowPairsByImage.delete(oldest);
    }
    return pairs;
  }

  private updateSlowPairs(): { added: readonly SlowPair[]; removed: readonly SlowPair[] } {
    const former = this.slowPairs;
    const isIn = (list: readonly SlowPair[], { image, beside }: SlowPair): boolean =>
      list.some((pair) => pair.image === image && pair.beside === beside);
    this.slowPairs = [...this.slowPairsByImage.values()]
      .flat()
      .sort((left, right) => right.ratio - left.ratio)
      .slice(0, MAX_SLOW_PAIRS);
    const added = this.slowPairs.filter((pair) => !isIn(former, pair));
    const removed = former.filter((pair) => !isIn(this.slowPairs, pair));
    if (added.length > 0 || removed.length > 0) this.partners = toPartners(this.slowPairs);
    return { added, removed };
  }
}

function createPair(image: string, beside: string, nowMs: number): PairEnds {
  return {
    image,
    beside,
    together: RatioStatistic.create(),
    apart: RatioStatistic.create(),
    lastTogetherAtMs: nowMs,
  };
}

/** Returns the pair if the runs of the image take longer beside the other one; undefined otherwise. */
function toSlowPair({ image, beside, together, apart }: PairEnds): SlowPair | undefined {
  if (together.count < MIN_ENDS || apart.count < MIN_ENDS) return undefined;
  const difference = together.mean - apart.mean;
  const error = Math.sqrt(together.errorVariance + apart.errorVariance);
  if (difference <= Math.log(SLOW_RATIO) || difference <= MIN_ERRORS * error) return undefined;
  return { image, beside, ratio: Math.exp(difference), ends: together.count };
}

/** Lists the partners of each image in both directions: either one may start second. */
function toPartners(slowPairs: readonly SlowPair[]): Map<string, ReadonlySet<string>> {
  const partners = new Map<string, Set<string>>();
  const add = (image: string, partner: string): void => {
    const set = partners.get(image) ?? new Set<string>();
    partners.set(image, set.add(partner));
  };
  for (const { image, beside } of slowPairs) {
    add(image, beside);
    add(beside, image);
  }
  return partners;
}
