import type { Family } from './family.js';
import type { TaskRecord } from './task-record.js';
import { vectors } from './vectors.js';

/** Range to which learned ratios are limited, because values outside it are implausible. */
const MIN_RATIO = 1 / 4;
const MAX_RATIO = 4;
/** Number of families kept; the one that was added first is dropped first. */
const MAX_FAMILIES = 10_000;
/**
 * Weights of a new sample in the exponential moving averages. An increase of usage has a larger weight
 * than a decrease, because too small an estimate overloads workers.
 */
const INCREASE_WEIGHT = 0.7;
const DECREASE_WEIGHT = 0.01;
const RUN_TIME_WEIGHT = 0.2;

function clampRatio(ratio: number): number {
  return Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
}

/** Learns usage and run time of tasks per job family. */
export class Families {
  static create(): Families {
    return new Families(new Map());
  }

  private constructor(private readonly byName: Map<string, Family>) {}

  /** Returns the family with this name; adds it with ratios of 1 when it does not exist. */
  getOrAdd(name: string): Family {
    const existing = this.byName.get(name);
    if (existing !== undefined) return existing;
    const family = {
      name,
      usageRatios: [],
      meanRunTimeRatio: 1,
      runTimeRatioDeviation: 0.5,
      runTimeSamples: 0,
    };
    this.byName.set(name, family);
    if (this.byName.size > MAX_FAMILIES) {
      const oldest = this.byName.keys().next();
      if (oldest.done !== true) this.byName.delete(oldest.value);
    }
    return family;
  }

  /** Updates the usage ratios of processors and memory from a report. */
  learnUsage(task: TaskRecord, observed: readonly number[]): void {
    const usageRatios = task.job.family.usageRatios;
    for (let i = 0; i < 2; i += 1) {
      const declared = vectors.at(task.demand, i);
      if (declared <= 0) continue;
      const ratio = vectors.at(observed, i) / declared;
      const previous = usageRatios[i] ?? 1;
      usageRatios[i] = clampRatio(
        previous + (ratio - previous) * (ratio > previous ? INCREASE_WEIGHT : DECREASE_WEIGHT),
      );
    }
  }

  /** Updates the run-time ratio from a completed task. */
  learnRunTime(task: TaskRecord, runTimeMs: number): void {
    const declaredMs = task.job.spec.runMs;
    if (declaredMs === undefined || declaredMs <= 0) return;
    const family = task.job.family;
    const ratio = clampRatio(runTimeMs / declaredMs);
    const difference = ratio - family.meanRunTimeRatio;
    const weight = family.runTimeSamples === 0 ? 1 : RUN_TIME_WEIGHT;
    family.meanRunTimeRatio = clampRatio(family.meanRunTimeRatio + weight * difference);
    family.runTimeRatioDeviation +=
      RUN_TIME_WEIGHT * (Math.abs(difference) - family.runTimeRatioDeviation);
    family.runTimeSamples += 1;
  }

  /**
   * Estimates the demand of a task before its first report: the declared demand, raised for each resource
   * of which the family uses more than declared. A lower usage does not reduce it, because a task is always
   * allocated at least its declared demand.
   */
  estimateDemand(task: TaskRecord): number[] {
    const usageRatios = task.job.family.usageRatios;
    return task.demand.map((amount, i) =>
      i < 2 ? Math.ceil(amount * Math.max(1, usageRatios[i] ?? 1)) : amount,
    );
  }

  /**
   * Estimates the remaining run time in ms from the mean plus `deviations` mean deviations. Infinity for
   * services and for jobs without a declared run time.
   */
  estimateRemainingMs(task: TaskRecord, deviations: number): number {
    const declaredMs = task.job.spec.runMs;
    if (declaredMs === undefined || task.job.spec.kind === 'service') return Infinity;
    const family = task.job.family;
    const ratio = clampRatio(family.meanRunTimeRatio + deviations * family.runTimeRatioDeviation);
    return Math.max(0, declaredMs * ratio - task.checkpointedProgressMs);
  }
}
